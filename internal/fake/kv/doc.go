// Package kv is a stand-in for the platform's key-value service, in memory only.
//
// A [Server] speaks the published etcd v3 JSON gateway protocol over HTTP:
// range, put, deleterange, txn, watch, and leases. Keys and values are base64,
// 64-bit integers are JSON strings, and errors carry the gRPC status code. All
// data is one immutable [State], which is replaced as a whole. [Faults] makes the
// server lose answers, delay calls, fail them, repeat watch events, and return
// stale reads; [Server.Compact] discards history.
//
// [Memory] is the same data without a server. A [Link] to it has the methods of
// the client and runs in virtual time, with faults scripted or drawn for each call.
package kv
