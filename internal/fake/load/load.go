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

// Settings describe the load to generate.
type Settings struct {
	// Seed determines the times between arrivals, the contents of the requests and the entry that each is sent to.
	Seed uint64
	// Duration is how long new requests arrive.
	Duration time.Duration
	// Mix lists the kinds of requests, which arrive independently of each other.
	Mix []Work
}

// Work is one kind of request.
type Work struct {
	// Name is the key of the samples in the report, and part of the request ids.
	Name string
	// KeyHash is the hash of the client account's access key.
	KeyHash string
	Service string
	// PerSecond is the mean rate of arrivals, which form a Poisson process.
	PerSecond float64
	// Tokens is the length of the answer to a completion, or 0 for an operation of a plain service.
	Tokens int
	// Prompts is the number of distinct prompts, or 0 for a new one in each request.
	Prompts int
	// PromptBytes is the minimum length of a prompt or body.
	PromptBytes int
	// WithKey gives each request a distinct idempotency key.
	WithKey bool
}

// Run sends each request to a randomly drawn entry, and returns when every request has ended.
// It sends no new requests after ctx has ended.
func Run(ctx context.Context, settings Settings, entries []request.Handler) Report {
	results := make(chan result)
	var senders sync.WaitGroup
	for i, work := range settings.Mix {
		random := rand.New(rand.NewPCG(settings.Seed, uint64(i)))
		senders.Go(func() { generate(ctx, work, settings.Duration, random, entries, results) })
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

// generate sends requests of one kind at random intervals until duration has passed or ctx has ended.
// It returns when every request has ended and its result has been delivered.
func generate(ctx context.Context, work Work, duration time.Duration, random *rand.Rand, entries []request.Handler, results chan<- result) {
	var requests sync.WaitGroup
	defer requests.Wait()
	end := time.Now().Add(duration)
	for number := 0; ; number++ {
		interval := time.Duration(random.ExpFloat64() / work.PerSecond * float64(time.Second))
		if time.Now().Add(interval).After(end) {
			return
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
		outgoing := work.request(number, random)
		entry := entries[random.IntN(len(entries))]
		requests.Go(func() { results <- send(ctx, work, outgoing, entry) })
	}
}

// request returns the request with the given number, which arrives now. Its contents are reproducible from random.
func (work Work) request(number int, random *rand.Rand) call.Request {
	variant := number
	if work.Prompts > 0 {
		variant = random.IntN(work.Prompts)
	}
	text := fmt.Sprintf("%s %d tokens=%d ", work.Name, variant, work.Tokens)
	text += strings.Repeat("x", max(0, work.PromptBytes-len(text)))
	outgoing := call.Request{
		ID:      fmt.Sprintf("%s-%d", work.Name, number),
		KeyHash: work.KeyHash,
		Service: work.Service,
		Arrived: time.Now(),
		Stream:  true,
	}
	if work.WithKey {
		outgoing.IdempotencyKey = outgoing.ID
	}
	if work.Tokens > 0 {
		outgoing.Completion = call.Completion{Model: work.Service, Prompt: text}
	} else {
		outgoing.Operation = call.Operation{Method: "POST", Path: "/" + work.Name, Body: []byte(text)}
	}
	return outgoing
}

// send sends one request, waits for its end, and returns the measured times and whether the answer was correct.
func send(ctx context.Context, work Work, outgoing call.Request, entry request.Handler) result {
	measured := result{work: work.Name}
	var text strings.Builder
	final := false
	var previous time.Time
	sink := request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
		now := time.Now()
		if text.Len() == 0 {
			measured.firstToken = now.Sub(outgoing.Arrived)
		} else if chunk.Tokens > 0 {
			measured.gaps = append(measured.gaps, now.Sub(previous)/time.Duration(chunk.Tokens))
		}
		previous = now
		text.WriteString(chunk.Text)
		measured.recomputed += chunk.Recomputed
		final = final || chunk.Final
		return nil
	})
	exchange, err := entry.Handle(ctx, request.Exchange{Request: outgoing, Sink: sink})
	measured.total = time.Since(outgoing.Arrived)
	var refusal *call.Refusal
	switch {
	case errors.As(err, &refusal):
		measured.refused = true
	case err != nil:
		measured.failed = true
	case work.Tokens > 0:
		measured.wrong = !final || text.String() != runner.Text(outgoing.Completion.Prompt, 0, work.Tokens)
	default:
		measured.firstToken = measured.total
		measured.wrong = !strings.HasSuffix(string(exchange.Answer.Body), runner.Text(string(outgoing.Operation.Body), 0, 4))
	}
	return measured
}
