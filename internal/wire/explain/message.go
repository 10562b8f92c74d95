package explain

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Path is the path of the interface.
const Path = "/explain"

const (
	// MaxQueryBytes is the largest size of a query in bytes.
	MaxQueryBytes = 64 << 10
	// maxTokens bounds each number of tokens, and maxTimeLimit the time limit.
	maxTokens    = 100_000_000
	maxTimeLimit = 24 * time.Hour
)

// Query describes a call.
type Query struct {
	Host string
	Path string
	// Account is the name of a client account, in place of Key, an access key.
	Account string `json:",omitempty"`
	Key     string `json:",omitempty"`
	// Prompt has the parts of the prompt as ID:TOKENS,ID:TOKENS and Tokens the input and highest output tokens as INPUT,OUTPUT.
	Prompt string `json:",omitempty"`
	Tokens string `json:",omitempty"`
	// Hint is the caller's estimate of the output tokens, 0 for none, and TimeLimitMs the caller's time limit, 0 for none.
	Hint        int     `json:",omitempty"`
	TimeLimitMs float64 `json:",omitempty"`
}

// FieldError is the error of a query with a field that has no allowed value.
type FieldError struct{ Field, Detail string }

// Error returns the name of the field and what is wrong.
func (fieldError *FieldError) Error() string { return fieldError.Field + ": " + fieldError.Detail }

// Read reads a query.
func Read(input io.Reader) (Query, error) {
	decoder := json.NewDecoder(io.LimitReader(input, MaxQueryBytes))
	decoder.DisallowUnknownFields()
	var query Query
	if err := decoder.Decode(&query); err != nil {
		return query, &FieldError{"Query", err.Error()}
	}
	return query, nil
}

// Request returns the call, or a [FieldError].
func (query Query) Request() (call.Request, error) {
	request := call.Request{}
	switch {
	case query.Host == "":
		return request, &FieldError{"Host", "missing"}
	case !strings.HasPrefix(query.Path, "/"):
		return request, &FieldError{"Path", fmt.Sprintf("%q does not begin with /", query.Path)}
	case query.Account != "" && query.Key != "":
		return request, &FieldError{"Account", "given together with Key"}
	case query.Hint < 0 || query.Hint > maxTokens:
		return request, &FieldError{"Hint", fmt.Sprintf("%d is not between 0 and %d", query.Hint, maxTokens)}
	case !(query.TimeLimitMs >= 0 && query.TimeLimitMs <= float64(maxTimeLimit.Milliseconds())): // false for NaN
		return request, &FieldError{"TimeLimitMs", fmt.Sprintf("%v is not between 0 and %d", query.TimeLimitMs, maxTimeLimit.Milliseconds())}
	}
	prompt, err := query.prompt()
	if err != nil {
		return request, err
	}
	path, _, _ := strings.Cut(query.Path, "?")
	return request.WithOpaque(call.Opaque{
		Method: "POST", Host: query.Host, Target: query.Path, Path: path, Key: query.Key, Prompt: prompt,
		TimeLimit: time.Duration(query.TimeLimitMs * float64(time.Millisecond)),
	}), nil
}

// prompt returns the description of the prompt.
func (query Query) prompt() (call.Prompt, error) {
	prompt := call.Prompt{LengthHint: query.Hint}
	if query.Tokens != "" {
		input, output, _ := strings.Cut(query.Tokens, ",")
		var ok, alsoOK bool
		prompt.Input, ok = tokens(input)
		if prompt.Output, alsoOK = tokens(output); !ok || !alsoOK {
			return prompt, &FieldError{"Tokens", fmt.Sprintf("%q is not INPUT,OUTPUT with numbers up to %d", query.Tokens, maxTokens)}
		}
	}
	if query.Prompt == "" {
		return prompt, nil
	}
	for part := range strings.SplitSeq(query.Prompt, ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(part), ":")
		number, ok := tokens(count)
		if id == "" || !ok {
			return prompt, &FieldError{"Prompt", fmt.Sprintf("%q is not ID:TOKENS with a number up to %d", part, maxTokens)}
		}
		prompt.Parts = append(prompt.Parts, call.Part{ID: id, Tokens: number})
	}
	return prompt, nil
}

// tokens returns a number of tokens, or false for another text.
func tokens(text string) (int, bool) {
	number, err := strconv.Atoi(strings.TrimSpace(text))
	return number, err == nil && number >= 0 && number <= maxTokens
}

// Reply says what would become of a call.
type Reply struct {
	Route   string
	Account string
	Service string
	// Limit is what the account's limit decides on.
	Limit    string
	Admitted bool
	// Reason and Detail are those of a refusal, and RetryAfterMs the time after which the caller may come back.
	Reason       string  `json:",omitempty"`
	Detail       string  `json:",omitempty"`
	RetryAfterMs float64 `json:",omitempty"`
	// ExpectedAmount is the median of the expected events of a stream, or milliseconds of a plain call, 0 if it is not known.
	ExpectedAmount float64
	// Sample is the number of servers at random that are compared with the preferred ones, 0 for all servers.
	Sample int
	// Chosen is the server of one choice, ChosenReason its reason, and RunnerUp the next one of Candidates.
	Chosen       string
	ChosenReason string
	RunnerUp     string
	// Candidates are the servers of the service, the one with the lowest cost first.
	Candidates []Candidate
}

// Candidate is a server with its expected cost by component, in prompt tokens: (Prompt + Load) * Factor + Beside + Duration + Late + Garbling.
type Candidate struct {
	Server                                                        string
	Total, Prompt, Load, Factor, Beside, Duration, Late, Garbling float64
	// Counted is the cost by the number of calls alone.
	Counted float64
	// Running is the number of this entry's calls there.
	Running   int
	Preferred bool    `json:",omitempty"`
	Down      bool    `json:",omitempty"`
	ClosedMs  float64 `json:",omitempty"`
}
