package kv

// The types in this file are messages of the etcd v3 JSON gateway, with the fields that the client uses.

type header struct {
	Revision int64 `json:"revision,string"`
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

type rangeResponse struct {
	// request is what the response must answer.
	request rangeRequest
	Header  header     `json:"header"`
	Kvs     []keyValue `json:"kvs"`
	More    bool       `json:"more"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type deleteResponse struct {
	Header header `json:"header"`
}

type txnRequest struct {
	Compare []comparison `json:"compare"`
	Success []operation  `json:"success"`
	Failure []operation  `json:"failure"`
}

type comparison struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

type operation struct {
	Put   *putRequest   `json:"request_put,omitempty"`
	Range *rangeRequest `json:"request_range,omitempty"`
}

type txnResponse struct {
	// key and expected are the key that is written, and the revision that it must have.
	key       []byte
	expected  int64
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
	Responses []struct {
		Range rangeResponse `json:"response_range"`
	} `json:"responses"`
}

// The types of events; a put has the empty one as well, the default value of the protocol.
const (
	eventTypePut    = "PUT"
	eventTypeDelete = "DELETE"
)

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchResponse struct {
	// create is the watch that the message must belong to.
	create watchCreate
	Result struct {
		Header          header `json:"header"`
		Canceled        bool   `json:"canceled"`
		CompactRevision int64  `json:"compact_revision,string"`
		Events          []struct {
			Type string   `json:"type"`
			Kv   keyValue `json:"kv"`
		} `json:"events"`
	} `json:"result"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

// revokeResponse has nothing that the client uses.
type revokeResponse struct{}

type keepAliveResponse struct {
	// id is the lease that is renewed.
	id     int64
	Result leaseResponse `json:"result"`
}

func (message keyValue) item() Item {
	return Item{Key: string(message.Key), Value: message.Value, Revision: message.ModRevision}
}

// prefixEnd returns the exclusive end of the range of all keys with the prefix, or a zero byte, which
// denotes a range without an end, if no key sorts after them.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
