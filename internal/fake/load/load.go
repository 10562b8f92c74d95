package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Settings describe the work to offer.
type Settings struct {
	// Seed fixes the arrivals and the contents of all requests.
	Seed uint64
	// Duration is how long new work arrives.
	Duration time.Duration
	Mix      []Work
}

// Work is one kind of request.
type Work struct {
	// Name is the key of its samples in the report.
	Name string
	// KeyHash is that of the client account.
	KeyHash string
	Service string
	// PerSecond is the mean rate of arrivals, which are a Poisson process.
	PerSecond float64
	// Tokens is the length of the answer, 0 for an operation of a plain service.
	Tokens int
	// Prompts is how many different prompts occur, 0 for a new one each time.
	Prompts int
	// PromptBytes is the least length of a prompt.
	PromptBytes int
	// WithKey gives each request an idempotency key of its own.
	WithKey bool
}

// Run offers the work to the entries in turn and returns when all of it has ended.
func Run(ctx context.Context, settings Settings, entries []request.Handler) Report {
	results := make(chan result)
	var senders sync.WaitGroup
	for i, work := range settings.Mix {
		random := rand.New(rand.NewPCG(settings.Seed, uint64(i)))
		senders.Go(func() { offer(ctx, work, settings.Duration, random, entries, results) })
	}
	go func() {
		senders.Wait()
		close(results)
	}()
	report := Report{}
	for result := range results {
		report.add(result)
	}
	report.sort()
	return report
}

func offer(ctx context.Context, work Work, duration time.Duration, random *rand.Rand, entries []request.Handler, results chan<- result) {
	var requests sync.WaitGroup
	defer requests.Wait()
	end := time.Now().Add(duration)
	for number := 0; ; number++ {
		pause := time.Duration(random.ExpFloat64() / work.PerSecond * float64(time.Second))
		if time.Now().Add(pause).After(end) {
			return
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		next := work.request(number, random)
		entry := entries[random.IntN(len(entries))]
		requests.Go(func() { results <- send(ctx, work, next, entry) })
	}
}

func (work Work) request(number int, random *rand.Rand) call.Request {
	variant := number
	if work.Prompts > 0 {
		variant = random.IntN(work.Prompts)
	}
	text := fmt.Sprintf("%s %d tokens=%d ", work.Name, variant, work.Tokens)
	text += strings.Repeat("x", max(0, work.PromptBytes-len(text)))
	next := call.Request{
		ID:      fmt.Sprintf("%s-%d", work.Name, number),
		KeyHash: work.KeyHash,
		Service: work.Service,
		Arrived: time.Now(),
		Stream:  true,
	}
	if work.WithKey {
		next.IdempotencyKey = next.ID
	}
	if work.Tokens > 0 {
		next.Completion = call.Completion{Model: work.Service, Prompt: text}
	} else {
		next.Operation = call.Operation{Method: "POST", Path: "/" + work.Name, Body: []byte(text)}
	}
	return next
}

// send brings one request to its end and checks the answer.
func send(ctx context.Context, work Work, next call.Request, entry request.Handler) result {
	sample := result{work: work.Name}
	var text strings.Builder
	final := false
	var last time.Time
	sink := request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
		now := time.Now()
		if text.Len() == 0 {
			sample.first = now.Sub(next.Arrived)
		} else if chunk.Tokens > 0 {
			sample.gaps = append(sample.gaps, now.Sub(last)/time.Duration(chunk.Tokens))
		}
		last = now
		text.WriteString(chunk.Text)
		sample.recomputed += chunk.Recomputed
		final = final || chunk.Final
		return nil
	})
	exchange, err := entry.Handle(ctx, request.Exchange{Request: next, Sink: sink})
	sample.whole = time.Since(next.Arrived)
	var refusal *call.Refusal
	switch {
	case errors.As(err, &refusal):
		sample.refused = true
	case err != nil:
		sample.failed = true
	case work.Tokens > 0:
		sample.wrong = !final || text.String() != runner.Text(next.Completion.Prompt, 0, work.Tokens)
	default:
		sample.first = sample.whole
		sample.wrong = !strings.HasSuffix(string(exchange.Answer.Body), runner.Text(string(next.Operation.Body), 0, 4))
	}
	return sample
}
