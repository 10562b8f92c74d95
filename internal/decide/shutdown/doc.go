// Package shutdown decides which calls a stopping entry still takes: those that end before it cuts off what is in progress.
//
// A [Duration] estimates how long calls of one kind take, from those that have ended.
package shutdown
