package kv

import (
	"bytes"
	"cmp"
)

// valueLimit is the largest value that the platform's service stores, in bytes.
const valueLimit = 1 << 20

// withTxn returns the state after the branch that the comparisons select.
func (state State) withTxn(txn txnRequest) (State, txnResponse, *failure) {
	succeeded := true
	for _, compare := range txn.Compare {
		succeeded = succeeded && state.holds(compare)
	}
	steps := txn.Failure
	if succeeded {
		steps = txn.Success
	}
	next := state
	revision := state.revision + 1
	response := txnResponse{Succeeded: succeeded}
	for _, step := range steps {
		var answer responseStep
		var refused *failure
		next, answer, refused = next.withStep(revision, step)
		if refused != nil {
			return state, txnResponse{}, refused
		}
		response.Responses = append(response.Responses, answer)
	}
	response.Header = header{Revision: next.revision}
	return next, response, nil
}

func (state State) withStep(revision int64, step requestStep) (State, responseStep, *failure) {
	switch {
	case step.Put != nil:
		if len(step.Put.Value) > valueLimit {
			return state, responseStep{}, errTooLarge
		}
		if _, ok := state.leases[step.Put.Lease]; step.Put.Lease != 0 && !ok {
			return state, responseStep{}, errNoLease
		}
		state = state.withPut(revision, string(step.Put.Key), step.Put.Value, step.Put.Lease)
		return state, responseStep{Put: &putResponse{Header: header{Revision: revision}}}, nil
	case step.Delete != nil:
		doomed := state.Items(string(step.Delete.Key), string(step.Delete.RangeEnd))
		for _, item := range doomed {
			state = state.withDelete(revision, item)
		}
		return state, responseStep{Delete: &deleteResponse{Header: header{Revision: state.revision}, Deleted: int64(len(doomed))}}, nil
	case step.Range != nil:
		response, refused := state.read(*step.Range)
		return state, responseStep{Range: &response}, refused
	default:
		return state, responseStep{}, errMalformed
	}
}

// read answers a range request, at an earlier revision when it names one.
func (state State) read(request rangeRequest) (rangeResponse, *failure) {
	response := rangeResponse{Header: header{Revision: state.revision}}
	if request.Revision > 0 {
		if request.Revision < state.compacted {
			return response, errCompacted
		}
		state = state.At(request.Revision)
	}
	items := state.Items(string(request.Key), string(request.RangeEnd))
	response.Count = int64(len(items))
	if request.Limit > 0 && len(items) > int(request.Limit) {
		items = items[:request.Limit]
		response.More = true
	}
	for _, item := range items {
		response.Kvs = append(response.Kvs, message(item))
	}
	return response, nil
}

func (state State) holds(compare comparison) bool {
	var item Item
	found := state.Items(string(compare.Key), "")
	if len(found) > 0 {
		item = found[0]
	}
	var order int
	switch compare.Target {
	case "CREATE":
		order = cmp.Compare(item.CreateRevision, compare.CreateRevision)
	case "MOD":
		order = cmp.Compare(item.ModRevision, compare.ModRevision)
	case "VALUE":
		if len(found) == 0 {
			return false
		}
		order = bytes.Compare(item.Value, compare.Value)
	default: // VERSION is the protocol's default value
		order = cmp.Compare(item.Version, compare.Version)
	}
	switch compare.Result {
	case "GREATER":
		return order > 0
	case "LESS":
		return order < 0
	case "NOT_EQUAL":
		return order != 0
	default: // EQUAL is the protocol's default value
		return order == 0
	}
}
