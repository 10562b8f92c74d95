// Package capacity decides how many servers of a service to order in each failure domain.
//
// A [Plan] is the number of servers of each kind in each failure domain. Orders
// are made for what differs from the last orders only.
package capacity
