package kv

// The messages of the JSON gateway, with the field names of the etcd v3 protocol.

type header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	Limit    int64  `json:"limit,string"`
	Revision int64  `json:"revision,string"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type putResponse struct {
	Header header `json:"header"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type deleteResponse struct {
	Header  header `json:"header"`
	Deleted int64  `json:"deleted,string,omitempty"`
}

type txnRequest struct {
	Compare []comparison  `json:"compare"`
	Success []requestStep `json:"success"`
	Failure []requestStep `json:"failure"`
}

type comparison struct {
	Result         string `json:"result"`
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	Version        int64  `json:"version,string"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Value          []byte `json:"value"`
}

type requestStep struct {
	Range  *rangeRequest  `json:"request_range"`
	Put    *putRequest    `json:"request_put"`
	Delete *deleteRequest `json:"request_delete_range"`
}

type txnResponse struct {
	Header    header         `json:"header"`
	Succeeded bool           `json:"succeeded,omitempty"`
	Responses []responseStep `json:"responses,omitempty"`
}

type responseStep struct {
	Range  *rangeResponse  `json:"response_range,omitempty"`
	Put    *putResponse    `json:"response_put,omitempty"`
	Delete *deleteResponse `json:"response_delete_range,omitempty"`
}

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type watchResponse struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []watchEvent `json:"events,omitempty"`
}

type watchEvent struct {
	// Type is empty for a put, the protocol's default value.
	Type string   `json:"type,omitempty"`
	Kv   keyValue `json:"kv"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type leaseResponse struct {
	Header header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// streamed wraps each message of a call that the gateway answers with a stream of messages.
type streamed[T any] struct {
	Result T `json:"result"`
}

// status is the body of an error answer.
type status struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

func encodeItem(item Item) keyValue {
	return keyValue{
		Key: []byte(item.Key), Value: item.Value, CreateRevision: item.CreateRevision,
		ModRevision: item.ModRevision, Version: item.Version, Lease: item.Lease,
	}
}
