package decay

import (
	"math"
	"time"
)

// ByConstant returns the part of a quantity that is left after a time if it falls to 1/e in each time constant. All of it is left
// after a negative time.
func ByConstant(elapsed, constant time.Duration) float64 {
	return math.Exp(-max(0, elapsed).Seconds() / constant.Seconds())
}

// ByHalfLife returns the part of a quantity that is left after a time if it halves in each half-life. All of it is left after a
// negative time.
func ByHalfLife(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, elapsed).Seconds() / halfLife.Seconds())
}
