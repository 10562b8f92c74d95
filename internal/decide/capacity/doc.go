// Package capacity decides how many servers of a service to order in each failure domain.
//
// There are two kinds of servers: reclaimable servers cost less, but the provider may
// take back all those in a failure domain at once; on-demand servers are not taken
// back. A [Plan] is the number of servers of each kind in each failure domain. A
// [Planner] places an [Order] only if the plan differs from the last order, if that
// order was refused, or if servers are missing.
package capacity
