package call

import "time"

// Class classifies work by its expected length.
type Class string

// The classes of work, in order of precedence.
const (
	ClassShort Class = "Short"
	ClassLong  Class = "Long"
)

// Request is one accepted request of a caller.
type Request struct {
	// ID is unique for each request and the same for the caller's retries of it.
	ID string
	// Named reports whether the caller chose the ID, so that this request may be the retry of an earlier one.
	Named bool
	// Received is the number of answer tokens that the caller received before it retried, 0 for none.
	Received int
	// Account is the name of the client account, empty until the caller is authenticated.
	Account string
	// KeyHash is the hex SHA-256 of the caller's access key.
	KeyHash string
	// Service is the name of the service that the caller addressed.
	Service string
	// IdempotencyKey is the caller's key for work that must run at most once, or empty.
	IdempotencyKey string
	// Operation is the call to a plain service; zero for model engines.
	Operation Operation
	// Completion is the call to a model engine; zero for plain services.
	Completion Completion
	// Opaque is a call that is forwarded byte for byte; zero if Operation or Completion is set.
	Opaque Opaque
	// Stream reports whether the caller wants the answer as a stream of chunks.
	Stream bool
	// Estimate is the expected class and length of the work, zero until it is estimated.
	Estimate Estimate
	// Arrived is the time at which the entry read the request.
	Arrived time.Time
	// Deadline is the time after which the caller no longer needs the answer.
	Deadline time.Time
}

// Operation is a call to a plain service; its body is not interpreted.
type Operation struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Completion is a call to a model engine.
type Completion struct {
	Model string
	// Prompt is the text that the engine continues; the caller's messages are rendered into it.
	Prompt string
	// Parameters is the caller's body, forwarded to the engine unchanged.
	Parameters []byte
	// Chat reports whether the caller used the chat completions interface.
	Chat bool
	// MaxTokens is the caller's bound on the answer's length, 0 for none.
	MaxTokens int
	// Resume is the part of the answer that the caller has already received.
	Resume Resume
	// Priority orders work inside the engine; a lower value runs first.
	Priority int
}

// Resume is the part of an answer that was already relayed to the caller.
type Resume struct {
	Text   string
	Tokens int
}

// Estimate is the expected class and length of the work of a request.
type Estimate struct {
	Class Class
	// Tokens is the expected number of tokens of the answer.
	Tokens int
}

// WithAccount returns the request with its client account set.
func (request Request) WithAccount(account string) Request {
	request.Account = account
	return request
}

// WithEstimate returns the request with its estimate set.
func (request Request) WithEstimate(estimate Estimate) Request {
	request.Estimate = estimate
	return request
}

// WithDeadline returns the request with its deadline set.
func (request Request) WithDeadline(deadline time.Time) Request {
	request.Deadline = deadline
	return request
}

// WithResume returns the request with the part of the answer that the caller has already received.
func (request Request) WithResume(resume Resume) Request {
	request.Completion.Resume = resume
	return request
}

// WithPriority returns the request with its priority inside the engine set.
func (request Request) WithPriority(priority int) Request {
	request.Completion.Priority = priority
	return request
}

// WithoutContent returns the completion without its prompt, its parameters and the text of Resume.
func (completion Completion) WithoutContent() Completion {
	completion.Prompt, completion.Parameters, completion.Resume.Text = "", nil, ""
	return completion
}
