// Package try runs an entry with stand-ins in one process, to try the system out.
//
// It needs nothing but loopback: model engines, a stock service and a deposit
// service are stand-ins, and one client account with a known key is configured.
package try
