// Package share keeps what the entries know together: of each other, and of the platform's store.
//
// Each entry exchanges with its relay a few times a second, and relays with each other
// ([Exchange]; package neighbour has the model). [Knowledge] holds the result. Of the
// store, one entry at a time reads the configuration and the list of servers
// ([Reader]), because calls to the store are counted and its rates grow more slowly
// than the fleet. The others learn from it, and whoever finds that its
// knowledge grows old reads by itself, so that no entry has to be elected and an
// entry which the store turns away goes on with what the others read.
package share
