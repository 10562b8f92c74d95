// Package share keeps the state that all entries share: the state of the cluster of entries, and
// what they have read from the platform's store.
//
// Each entry exchanges state with its aggregator several times a second, and aggregators
// exchange state with each other ([Syncer]; package cluster describes the model).
// [SharedState] holds the result.
//
// Normally a single entry reads the configuration and the list of servers from the store
// ([StoreReader]), because calls to the store are rate-limited and the permitted rates grow more
// slowly than the number of entries. The other entries receive what it has read. An entry whose
// copy becomes too old reads the store itself. No leader election is therefore needed, and an
// entry whose calls the store rejects continues with what other entries have read.
package share
