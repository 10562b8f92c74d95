package kv

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

// readRange answers a read, at an older revision while ReadLag is set.
func (server *Server) readRange(request rangeRequest) (rangeResponse, *protocolError) {
	state := server.State()
	if lag := server.faults.Load().ReadLag; lag > 0 {
		state = state.At(max(1, state.revision-lag))
	}
	return state.read(request)
}

func (server *Server) put(request putRequest) (putResponse, *protocolError) {
	response, failure := server.transact(txnRequest{Success: []requestStep{{Put: &request}}})
	return putResponse{Header: response.Header}, failure
}

func (server *Server) deleteRange(request deleteRequest) (deleteResponse, *protocolError) {
	response, failure := server.transact(txnRequest{Success: []requestStep{{Delete: &request}}})
	if failure != nil {
		return deleteResponse{}, failure
	}
	return *response.Responses[0].Delete, nil
}

// transact applies a transaction to the data and wakes the watches if it changed something.
func (server *Server) transact(request txnRequest) (txnResponse, *protocolError) {
	type outcome struct {
		response txnResponse
		failure  *protocolError
		replaced chan struct{}
	}
	now := time.Now()
	_, applied := rcu.Apply(server.data, func(current publishedState) (publishedState, outcome) {
		state := current.state.withoutExpired(now)
		next, response, failure := state.withTxn(request)
		if failure != nil || next.revision == current.state.revision {
			return current, outcome{response: response, failure: failure}
		}
		return publishedState{state: next, replaced: make(chan struct{})}, outcome{response: response, replaced: current.replaced}
	})
	if applied.replaced != nil {
		server.writes.Add(1)
		close(applied.replaced)
	}
	return applied.response, applied.failure
}

// grant grants a lease with the requested id, or with a new one if the request has none.
func (server *Server) grant(request leaseRequest) (leaseResponse, *protocolError) {
	if request.TTL <= 0 {
		return leaseResponse{}, errMalformed
	}
	id := request.ID
	if id == 0 {
		id = server.lastLeaseID.Add(1)
	}
	server.storeLease(id, time.Duration(request.TTL)*time.Second)
	return leaseResponse{Header: header{Revision: server.State().revision}, ID: id, TTL: request.TTL}, nil
}

// keepAlive renews a lease for its TTL. A response with TTL 0 means that the lease does not exist.
func (server *Server) keepAlive(request leaseRequest) (streamed[leaseResponse], *protocolError) {
	server.removeExpired()
	granted, ok := server.State().leases[request.ID]
	response := leaseResponse{Header: header{Revision: server.State().revision}, ID: request.ID}
	if ok {
		server.storeLease(request.ID, granted.ttl)
		response.TTL = int64(granted.ttl / time.Second)
	}
	return streamed[leaseResponse]{Result: response}, nil
}

func (server *Server) revoke(request leaseRequest) (leaseResponse, *protocolError) {
	if _, ok := server.State().leases[request.ID]; !ok {
		return leaseResponse{}, errNoLease
	}
	server.update(func(state State) State { return state.withoutLease(request.ID) })
	return leaseResponse{Header: header{Revision: server.State().revision}}, nil
}

// storeLease stores a lease that expires after ttl, and schedules the removal of its keys.
func (server *Server) storeLease(id int64, ttl time.Duration) {
	granted := lease{ttl: ttl, expires: time.Now().Add(ttl)}
	server.update(func(state State) State { return state.withLease(id, granted) })
	time.AfterFunc(ttl, server.removeExpired)
}

// removeExpired removes the expired leases and the keys attached to them, and wakes the watches.
func (server *Server) removeExpired() {
	now := time.Now()
	server.update(func(state State) State { return state.withoutExpired(now) })
}
