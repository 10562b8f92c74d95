package account

import (
	"hash/fnv"
	"math"
	"math/bits"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

const (
	// MaxHistories bounds the memory of an estimator: 4 KB of pointers are copied
	// per finished answer, and 512 histories cover a few accounts times their templates.
	MaxHistories = 512
	// minSamples is how many answers a history needs before it overrides a coarser one.
	minSamples = 3
	// historyWeight is the weight of the newest answer; about the last 20 answers count.
	historyWeight = 0.1
	// longFactor separates the classes, as a multiple of the service's typical length.
	// Work that is several times longer than typical holds a slot for several turns.
	longFactor = 6
	// priorTokens is the expected length of an answer before anything was observed.
	priorTokens = 64
	// priorBoundary is the length in tokens at which work counts as long before anything was observed.
	priorBoundary = 256
	// maxHistoryCredit is how many other histories must claim the slot of a history in use
	// before it is replaced, so that prompts that never recur do not displace it.
	maxHistoryCredit = 32
)

// templateBytes are the lengths of the start of a prompt that histories are kept for,
// the longest first: callers' templates share a long start, while prompts that soon
// carry a number or a name share a short one.
var templateBytes = [...]int{64, 16, 8}

// Estimator predicts the length of answers from the history of services and client accounts.
//
// It keeps a history for each service, each account of a service, and each shape
// of request of an account (size of the prompt, start of the prompt, MaxTokens).
// The table has a fixed size; a history in use gives up its slot only after several
// others claimed it.
type Estimator struct {
	histories *[MaxHistories]*history
}

// Forecast is what to expect of a request.
type Forecast struct {
	call.Estimate
	// Boundary is the length in tokens beyond which work counts as long.
	Boundary int
	// RunTime is the expected time from grant to end, 0 if unknown.
	RunTime time.Duration
}

type history struct {
	key     uint64
	samples int
	credit  int
	tokens  float64 // mean length
	log     float64 // mean binary logarithm of the length, which a few long answers hardly move
	run     float64 // mean run time in seconds
}

// Forecast returns what to expect of a request; plain operations are short and count one token.
func (estimator Estimator) Forecast(request call.Request) Forecast {
	forecast := Forecast{Estimate: call.Estimate{Class: call.ClassShort, Tokens: 1}, Boundary: estimator.boundary(request.Service)}
	known := estimator.best(request)
	if known != nil {
		forecast.RunTime = seconds(known.run)
	}
	if request.Operation.Method != "" {
		return forecast
	}
	forecast.Tokens = priorTokens
	typical := float64(priorTokens)
	if known != nil {
		forecast.Tokens = max(1, int(known.tokens))
		typical = math.Exp2(known.log)
	}
	if bound := request.Completion.MaxTokens; bound > 0 {
		forecast.Tokens = min(forecast.Tokens, bound)
		typical = min(typical, float64(bound))
	}
	if typical > float64(forecast.Boundary) {
		forecast.Class = call.ClassLong
	}
	return forecast
}

// WithAnswer returns the estimator after an answer of that many tokens that ran for that time.
func (estimator Estimator) WithAnswer(request call.Request, tokens int, run time.Duration) Estimator {
	histories := [MaxHistories]*history{}
	if estimator.histories != nil {
		histories = *estimator.histories
	}
	for _, key := range keys(request) {
		at := &histories[key%MaxHistories]
		*at = (*at).with(key, float64(max(1, tokens)), run.Seconds())
	}
	estimator.histories = &histories
	return estimator
}

// with returns the history that takes the slot after an answer of that key.
func (current *history) with(key uint64, tokens, run float64) *history {
	next := history{key: key}
	if current != nil {
		next = *current
	}
	if next.key != key && next.credit > 0 {
		next.credit--
		return &next
	}
	if next.key != key {
		next = history{key: key}
	}
	next.credit = min(next.credit+1, maxHistoryCredit)
	next.samples++
	weight := max(historyWeight, 1/float64(next.samples))
	next.tokens += weight * (tokens - next.tokens)
	next.log += weight * (math.Log2(tokens) - next.log)
	next.run += weight * (run - next.run)
	return &next
}

func (estimator Estimator) best(request call.Request) *history {
	for _, key := range keys(request) {
		if known := estimator.lookup(key); known != nil && known.samples >= minSamples {
			return known
		}
	}
	return nil
}

func (estimator Estimator) boundary(service string) int {
	known := estimator.lookup(key(service, "", 0))
	if known == nil || known.samples < minSamples {
		return priorBoundary
	}
	return int(longFactor * math.Exp2(known.log))
}

func (estimator Estimator) lookup(key uint64) *history {
	if estimator.histories == nil {
		return nil
	}
	known := estimator.histories[key%MaxHistories]
	if known == nil || known.key != key {
		return nil
	}
	return known
}

// keys returns the keys of a request's histories, the most specific first.
func keys(request call.Request) [len(templateBytes) + 2]uint64 {
	var keys [len(templateBytes) + 2]uint64
	prompt := request.Completion.Prompt
	for at, length := range templateBytes {
		shape := fnv.New64a()
		shape.Write([]byte{byte(length), byte(bits.Len(uint(len(prompt)))), byte(bits.Len(uint(max(0, request.Completion.MaxTokens))))})
		shape.Write([]byte(prompt[:min(len(prompt), length)]))
		keys[at] = key(request.Service, request.Account, shape.Sum64())
	}
	keys[len(templateBytes)] = key(request.Service, request.Account, 0)
	keys[len(templateBytes)+1] = key(request.Service, "", 0)
	return keys
}

func key(service, account string, shape uint64) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(service))
	hash.Write([]byte{0})
	hash.Write([]byte(account))
	for shift := 0; shift < 64; shift += 8 {
		hash.Write([]byte{byte(shape >> shift)})
	}
	return hash.Sum64()
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// HistoryCount returns the number of histories kept, at most [MaxHistories].
func (estimator Estimator) HistoryCount() int {
	count := 0
	if estimator.histories != nil {
		for _, known := range estimator.histories {
			if known != nil {
				count++
			}
		}
	}
	return count
}
