package intake_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
)

// Guards against heads within the limit that are refused, and heads or empty lines without end that are not, however they are cut.
func TestHeadIsBounded(t *testing.T) {
	const limit = 64 << 10
	line := "POST /" + strings.Repeat("x", 8<<10) + " HTTP/1.1\r\n"
	for name, row := range map[string]struct {
		text  string
		fault intake.Fault
	}{
		"fields up to the limit": {line + "A: " + strings.Repeat("x", limit-7) + "\r\n\r\n", intake.FaultNone},
		"fields without end":     {line + strings.Repeat("a: b\r\n", 40<<10), intake.FaultTooLarge},
		"line without end":       {strings.Repeat("x", 2*limit), intake.FaultTooLarge},
		"one empty line before":  {"\r\n" + line, intake.FaultNone},
		"empty lines":            {strings.Repeat("\r\n", 100), intake.FaultEmptyLines},
		"line feeds":             {strings.Repeat("\n", 100), intake.FaultEmptyLines},
	} {
		for _, size := range []int{1, 7, 4096} {
			head, fault := intake.Head{}, intake.FaultNone
			for rest := []byte(row.text); len(rest) > 0 && fault == intake.FaultNone; {
				count := min(size, len(rest))
				head, fault = head.WithBytes(rest[:count], limit)
				rest = rest[count:]
			}
			assert.Equal(t, row.fault, fault, "%s in pieces of %d bytes", name, size)
		}
	}
}

// Guards against heads with very many fields that count for no more than their bytes.
func TestFieldsCountForTheirMemory(t *testing.T) {
	many, _ := intake.Head{}.WithBytes([]byte(strings.Repeat("a:\r\n", 10_000)), 64<<10)
	one, _ := intake.Head{}.WithBytes([]byte(strings.Repeat("a", 40_000)), 64<<10)
	assert.Greater(t, many.Memory(), 10*one.Memory())
}

// Guards against pressure that closes calls in progress, or an ordinary client before one that has waited longer.
func TestVictims(t *testing.T) {
	holdings := []intake.Holding{
		{Phase: intake.PhaseCall, Since: 0, Bytes: 100},
		{Phase: intake.PhaseIdle, Since: 1 * time.Second, Bytes: 10},
		{Phase: intake.PhaseHead, Since: 4 * time.Second, Bytes: 30},
		{Phase: intake.PhaseHead, Since: 2 * time.Second, Bytes: 20},
		{Phase: intake.PhaseBody, Since: 3 * time.Second, Bytes: 50},
	}
	for name, row := range map[string]struct {
		excess  intake.Excess
		victims []int
		enough  bool
	}{
		"nothing":                {intake.Excess{}, nil, true},
		"memory of one head":     {intake.Excess{Bytes: 15}, []int{3}, true},
		"memory of all heads":    {intake.Excess{Bytes: 45}, []int{3, 2}, true},
		"memory of bodies":       {intake.Excess{Bytes: 60}, []int{3, 2, 4}, true},
		"more than all but call": {intake.Excess{Bytes: 150}, []int{3, 2, 4, 1}, false},
		"a descriptor":           {intake.Excess{Descriptors: 1}, []int{1}, true},
		"several descriptors":    {intake.Excess{Descriptors: 4}, []int{1, 3, 2, 4}, true},
		"too many descriptors":   {intake.Excess{Descriptors: 5}, []int{1, 3, 2, 4}, false},
		"both":                   {intake.Excess{Bytes: 15, Descriptors: 2}, []int{3, 1}, true},
	} {
		victims, enough := intake.Victims(holdings, row.excess)
		assert.Equal(t, row.victims, victims, name)
		assert.Equal(t, row.enough, enough, name)
	}
}

// Guards against a large request that closes many ordinary connections, and against one that is refused for want of a descriptor.
func TestLargeRequestsDisplaceNoOthersForTheirMemory(t *testing.T) {
	limits := intake.Limits{Bytes: 100, Descriptors: 10}
	assert.True(t, limits.Excess(100, 10).IsZero())
	assert.True(t, limits.MayDisplace(25, limits.Excess(101, 10)))
	assert.False(t, limits.MayDisplace(26, limits.Excess(101, 10)))
	assert.True(t, limits.MayDisplace(26, limits.Excess(100, 11)))
	assert.False(t, limits.ExceededByEnded(100, 25))
	assert.True(t, limits.ExceededByEnded(100, 26))
	assert.False(t, limits.ExceededByEnded(126, 0), "what is held alone is bounded elsewhere")
}
