// Package try runs an entry and stand-ins for its backend servers in one process, to try the system out.
//
// It needs no other processes and uses loopback addresses only. The stand-ins are two
// model engines, a stock service, a deposit service and the key-value service. One
// client account with a known access key is configured.
package try
