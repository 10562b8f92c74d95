// Package raw is a stand-in for backend servers that break HTTP.
//
// A server hands each connection to a function, which reads and writes bytes as it likes.
package raw
