package kv

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

func (service *Server) readRange(request rangeRequest) (rangeResponse, *failure) {
	state := service.State()
	if lag := service.faults.Load().ReadLag; lag > 0 {
		state = state.At(max(1, state.revision-lag))
	}
	return state.read(request)
}

func (service *Server) put(request putRequest) (putResponse, *failure) {
	response, refused := service.transact(txnRequest{Success: []requestStep{{Put: &request}}})
	return putResponse{Header: response.Header}, refused
}

func (service *Server) deleteRange(request deleteRequest) (deleteResponse, *failure) {
	response, refused := service.transact(txnRequest{Success: []requestStep{{Delete: &request}}})
	if refused != nil {
		return deleteResponse{}, refused
	}
	return *response.Responses[0].Delete, nil
}

// transact stores the outcome of a transaction and wakes the watches.
func (service *Server) transact(request txnRequest) (txnResponse, *failure) {
	type outcome struct {
		response txnResponse
		refused  *failure
		replaced chan struct{}
	}
	now := time.Now()
	_, result := rcu.Apply(service.data, func(current version) (version, outcome) {
		state := current.state.withTime(now)
		next, response, refused := state.withTxn(request)
		if refused != nil || next.revision == current.state.revision {
			return current, outcome{response: response, refused: refused}
		}
		return version{state: next, replaced: make(chan struct{})}, outcome{response: response, replaced: current.replaced}
	})
	if result.replaced != nil {
		service.writes.Add(1)
		close(result.replaced)
	}
	return result.response, result.refused
}

func (service *Server) grant(request leaseRequest) (leaseResponse, *failure) {
	if request.TTL <= 0 {
		return leaseResponse{}, errMalformed
	}
	id := request.ID
	if id == 0 {
		id = service.leases.Add(1)
	}
	service.extend(id, time.Duration(request.TTL)*time.Second)
	return leaseResponse{Header: header{Revision: service.State().revision}, ID: id, TTL: request.TTL}, nil
}

func (service *Server) keepAlive(request leaseRequest) (streamed[leaseResponse], *failure) {
	service.expire()
	held, ok := service.State().leases[request.ID]
	response := leaseResponse{Header: header{Revision: service.State().revision}, ID: request.ID}
	if ok {
		service.extend(request.ID, held.ttl)
		response.TTL = int64(held.ttl / time.Second)
	}
	return streamed[leaseResponse]{Result: response}, nil
}

func (service *Server) revoke(request leaseRequest) (leaseResponse, *failure) {
	if _, ok := service.State().leases[request.ID]; !ok {
		return leaseResponse{}, errNoLease
	}
	service.change(func(state State) State { return state.withoutLease(request.ID) })
	return leaseResponse{Header: header{Revision: service.State().revision}}, nil
}

func (service *Server) extend(id int64, ttl time.Duration) {
	granted := lease{ttl: ttl, expires: time.Now().Add(ttl)}
	service.change(func(state State) State { return state.withLease(id, granted) })
	time.AfterFunc(ttl, service.expire)
}

func (service *Server) expire() {
	now := time.Now()
	service.change(func(state State) State { return state.withTime(now) })
}
