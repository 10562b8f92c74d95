package account

import (
	"hash/fnv"
	"math"
	"math/bits"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

const (
	// MaxHistories bounds the memory of an estimator. Each finished answer copies 4 KB of
	// pointers, and 512 histories cover the prompt templates of a few accounts.
	MaxHistories = 512
	// minSamples is the number of answers after which a history is used instead of a less specific one.
	minSamples = 3
	// historyWeight is the weight of the latest answer in the means, so that about the last 20 answers count.
	historyWeight = 0.1
	// longFactor is the length beyond which work is long, as a multiple of the service's
	// typical length. Such work holds a slot for as long as several typical requests.
	longFactor = 6
	// priorTokens is the expected length of an answer while no history is available.
	priorTokens = 64
	// priorBoundary is the length in tokens beyond which work is long while the service has no history.
	priorBoundary = 256
	// maxHistoryCredit is the number of answers with other keys for the same table slot
	// that a history in use survives, so that prompts that never recur do not displace it.
	maxHistoryCredit = 32
)

// templateBytes are the lengths in bytes of the prompt prefixes that histories are kept
// for, longest first. Prompts from one template share a long prefix; where a number or
// a name comes early in the prompt, they share a short one.
var templateBytes = [...]int{64, 16, 8}

// Estimator predicts the length of answers from the history of services and client accounts.
//
// It keeps a history for each service, each account of a service, and each request
// shape of an account (size of the prompt, prefix of the prompt, MaxTokens). The table
// has a fixed size; a history in use is replaced only after several answers with other
// keys for its slot.
type Estimator struct {
	histories *[MaxHistories]*history
}

// Forecast is the expected class, length and run time of a request.
type Forecast struct {
	call.Estimate
	// Boundary is the length in tokens beyond which work is long.
	Boundary int
	// RunTime is the expected time from the grant of a slot to the end of the work, 0 if unknown.
	RunTime time.Duration
}

// history summarises the finished answers of a service, an account or a request shape.
type history struct {
	key     uint64
	samples int
	// credit is the number of answers with other keys that the history survives.
	credit         int
	meanTokens     float64
	meanLogTokens  float64 // mean binary logarithm of the length, on which a few long answers have little effect
	meanRunSeconds float64
}

// Forecast returns the forecast for a request; operations of plain services are short and count as one token.
func (estimator Estimator) Forecast(request call.Request) Forecast {
	forecast := Forecast{Estimate: call.Estimate{Class: call.ClassShort, Tokens: 1}, Boundary: estimator.boundary(request.Service)}
	found := estimator.bestHistory(request)
	if found != nil {
		forecast.RunTime = secondsToDuration(found.meanRunSeconds)
	}
	if request.Operation.Method != "" {
		return forecast
	}
	forecast.Tokens = priorTokens
	typical := float64(priorTokens)
	if found != nil {
		forecast.Tokens = max(1, int(found.meanTokens))
		typical = math.Exp2(found.meanLogTokens)
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

// WithAnswer returns the estimator after an answer to request with the given length in
// tokens and the given time from the grant of a slot to its end.
func (estimator Estimator) WithAnswer(request call.Request, tokens int, runTime time.Duration) Estimator {
	histories := [MaxHistories]*history{}
	if estimator.histories != nil {
		histories = *estimator.histories
	}
	for _, key := range historyKeys(request) {
		current := &histories[key%MaxHistories]
		*current = (*current).with(key, float64(max(1, tokens)), runTime.Seconds())
	}
	estimator.histories = &histories
	return estimator
}

// with returns the history that the table slot holds after an answer with the given key,
// length in tokens and run time in seconds. The current history may be nil.
func (current *history) with(key uint64, tokens, runSeconds float64) *history {
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
	next.meanTokens += weight * (tokens - next.meanTokens)
	next.meanLogTokens += weight * (math.Log2(tokens) - next.meanLogTokens)
	next.meanRunSeconds += weight * (runSeconds - next.meanRunSeconds)
	return &next
}

// bestHistory returns the most specific history of a request that has enough samples, or nil.
func (estimator Estimator) bestHistory(request call.Request) *history {
	for _, key := range historyKeys(request) {
		if found := estimator.lookup(key); found != nil && found.samples >= minSamples {
			return found
		}
	}
	return nil
}

// boundary returns the length in tokens beyond which work of a service is long.
func (estimator Estimator) boundary(service string) int {
	found := estimator.lookup(historyKey(service, "", 0))
	if found == nil || found.samples < minSamples {
		return priorBoundary
	}
	return int(longFactor * math.Exp2(found.meanLogTokens))
}

func (estimator Estimator) lookup(key uint64) *history {
	if estimator.histories == nil {
		return nil
	}
	found := estimator.histories[key%MaxHistories]
	if found == nil || found.key != key {
		return nil
	}
	return found
}

// historyKeys returns the keys of a request's histories, most specific first.
func historyKeys(request call.Request) [len(templateBytes) + 2]uint64 {
	var keys [len(templateBytes) + 2]uint64
	prompt := request.Completion.Prompt
	for i, length := range templateBytes {
		shape := fnv.New64a()
		shape.Write([]byte{byte(length), byte(bits.Len(uint(len(prompt)))), byte(bits.Len(uint(max(0, request.Completion.MaxTokens))))})
		shape.Write([]byte(prompt[:min(len(prompt), length)]))
		keys[i] = historyKey(request.Service, request.Account, shape.Sum64())
	}
	keys[len(templateBytes)] = historyKey(request.Service, request.Account, 0)
	keys[len(templateBytes)+1] = historyKey(request.Service, "", 0)
	return keys
}

// historyKey returns the key of a request shape of an account. Shape is 0 for the history of
// the whole account, and account is empty for that of the whole service.
func historyKey(service, account string, shape uint64) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(service))
	hash.Write([]byte{0})
	hash.Write([]byte(account))
	for shift := 0; shift < 64; shift += 8 {
		hash.Write([]byte{byte(shape >> shift)})
	}
	return hash.Sum64()
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// HistoryCount returns the number of histories in the table, at most [MaxHistories].
func (estimator Estimator) HistoryCount() int {
	count := 0
	if estimator.histories != nil {
		for _, found := range estimator.histories {
			if found != nil {
				count++
			}
		}
	}
	return count
}
