// Package decay has the weights of quantities that fade with time: decaying sums and moving averages.
//
// A quantity keeps its value and the time of its last change. Whoever reads it multiplies the value by the weight of the time since
// then, so that nothing has to run while nothing changes.
package decay
