package try

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/process/serve"
)

// exampleTimeout bounds the time for sending an example and reading its answer.
const exampleTimeout = 30 * time.Second

// example is a request that demonstrates a service of the entry.
type example struct {
	title, path, body, contentType, idempotencyKey string
}

var examples = []example{
	{"a streamed draft", "/v1/chat/completions", `{"model":"assistant","stream":true,"messages":[{"role":"user","content":"draft a reply"}]}`, "application/json", ""},
	{"a deposit order", "/services/deposit/orders", `{"veil":"V-17","amount":120}`, "application/json", "order-17"},
}

// runExamples sends each example to the entry at address and prints the answers.
func runExamples(ctx context.Context, output io.Writer, address string) error {
	for _, example := range examples {
		body, err := example.send(ctx, address)
		if err != nil {
			return fmt.Errorf("%s: %w", example.title, err)
		}
		fmt.Fprintf(output, "%s:\n%s\n\n", example.title, bytes.TrimSpace(body))
	}
	return nil
}

// send posts the example to the entry at address and returns the body of the answer.
//
// It returns an error for any status other than 200.
func (example example) send(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, exampleTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+example.path, bytes.NewBufferString(example.body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+CallerKey)
	request.Header.Set("Content-Type", example.contentType)
	if example.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", example.idempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the entry answered with status %d, want 200: %s", response.StatusCode, body)
	}
	return body, nil
}

// printExamples prints command lines that send the examples and operator requests to the running entry.
func printExamples(output io.Writer, entry *serve.Entry) {
	fmt.Fprintf(output, "rosemaryspar is running with stand-ins; stop it with Ctrl-C. Try:\n\n")
	for _, example := range examples {
		fmt.Fprintf(output, "# %s\ncurl -N -H 'Authorization: Bearer %s' ", example.title, CallerKey)
		if example.idempotencyKey != "" {
			fmt.Fprintf(output, "-H 'Idempotency-Key: %s' ", example.idempotencyKey)
		}
		fmt.Fprintf(output, "-H 'Content-Type: %s' -d '%s' http://%s%s\n\n", example.contentType, example.body, entry.CallerAddress(), example.path)
	}
	fmt.Fprintf(output, "# the state of the backend servers as observed by the entry\ncurl -H 'Authorization: Bearer %s' http://%s/backends\n\n", OperatorKey, entry.OperatorAddress())
	fmt.Fprintf(output, "# metrics\ncurl http://%s/metrics\n", entry.OperatorAddress())
}
