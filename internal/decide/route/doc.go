// Package route determines the route, the service and the client account of an opaque call.
//
// A [Table] is an immutable index of one configuration. Among the routes of a host, it
// selects the one with the longest prefix of the path. It finds the client account
// of a call by the access key that the call carries.
package route
