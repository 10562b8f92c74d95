// Package route finds the route, the service and the client account of an opaque call.
//
// A [Table] is the immutable form of one configuration. Among the routes of a
// host, the one with the longest prefix that begins the path is taken. A call
// carries an access key, by which the table finds its client account.
package route
