package kv

import (
	"bytes"
	"cmp"
)

// maxValueBytes is the size of the largest value that the platform's key-value service stores.
const maxValueBytes = 1 << 20

// withTxn returns the state after a transaction, whose comparisons select the branch, and the response to it.
// All changes of a transaction have the same revision. A failed step leaves the state unchanged.
func (state State) withTxn(txn txnRequest) (State, txnResponse, *protocolError) {
	succeeded := true
	for _, compare := range txn.Compare {
		succeeded = succeeded && state.satisfies(compare)
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
		var failure *protocolError
		next, answer, failure = next.withStep(revision, step)
		if failure != nil {
			return state, txnResponse{}, failure
		}
		response.Responses = append(response.Responses, answer)
	}
	response.Header = header{Revision: next.revision}
	return next, response, nil
}

// withStep returns the state after one step of a transaction at the given revision, and the response to the step.
func (state State) withStep(revision int64, step requestStep) (State, responseStep, *protocolError) {
	switch {
	case step.Put != nil:
		if len(step.Put.Value) > maxValueBytes {
			return state, responseStep{}, errTooLarge
		}
		if _, ok := state.leases[step.Put.Lease]; step.Put.Lease != 0 && !ok {
			return state, responseStep{}, errNoLease
		}
		state = state.withPut(revision, string(step.Put.Key), step.Put.Value, step.Put.Lease)
		return state, responseStep{Put: &putResponse{Header: header{Revision: revision}}}, nil
	case step.Delete != nil:
		matches := state.Items(string(step.Delete.Key), string(step.Delete.RangeEnd))
		for _, item := range matches {
			state = state.withDelete(revision, item)
		}
		return state, responseStep{Delete: &deleteResponse{Header: header{Revision: state.revision}, Deleted: int64(len(matches))}}, nil
	case step.Range != nil:
		response, failure := state.read(*step.Range)
		return state, responseStep{Range: &response}, failure
	default:
		return state, responseStep{}, errMalformed
	}
}

// read answers a range request, at an earlier revision if the request specifies one.
func (state State) read(request rangeRequest) (rangeResponse, *protocolError) {
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
		response.Kvs = append(response.Kvs, encodeItem(item))
	}
	return response, nil
}

// satisfies reports whether a comparison of a transaction is true. An absent key has revision and version 0.
func (state State) satisfies(compare comparison) bool {
	var item Item
	items := state.Items(string(compare.Key), "")
	if len(items) > 0 {
		item = items[0]
	}
	var result int
	switch compare.Target {
	case "CREATE":
		result = cmp.Compare(item.CreateRevision, compare.CreateRevision)
	case "MOD":
		result = cmp.Compare(item.ModRevision, compare.ModRevision)
	case "VALUE":
		if len(items) == 0 {
			return false
		}
		result = bytes.Compare(item.Value, compare.Value)
	default: // VERSION is the protocol's default value
		result = cmp.Compare(item.Version, compare.Version)
	}
	switch compare.Result {
	case "GREATER":
		return result > 0
	case "LESS":
		return result < 0
	case "NOT_EQUAL":
		return result != 0
	default: // EQUAL is the protocol's default value
		return result == 0
	}
}
