package call

import "time"

// Class separates work by its expected length.
type Class string

// The classes of work, in order of precedence.
const (
	ClassShort Class = "Short"
	ClassLong  Class = "Long"
)

// Request is one accepted request of a caller.
type Request struct {
	// ID is unique per request and stable over a caller's repeats of it.
	ID string
	// Named reports that the caller chose the ID, so that this may be its repeat.
	Named bool
	// Received is the number of answer tokens that the caller of a repeat has, 0 for none.
	Received int
	// Account names the client account, empty until the caller is identified.
	Account string
	// KeyHash is the hex SHA-256 of the caller's access key.
	KeyHash string
	// Service names the service that the caller addressed.
	Service string
	// IdempotencyKey is the caller's key for work that must run at most once, or empty.
	IdempotencyKey string
	// Operation is what a plain service is asked to do; empty for engines.
	Operation Operation
	// Completion is what a model engine is asked for; zero for plain services.
	Completion Completion
	// Opaque is a call that is passed on byte for byte; zero for the interfaces above.
	Opaque Opaque
	// Stream reports whether the caller takes chunks as they come.
	Stream bool
	// Estimate is the expected length of the work, zero until it is estimated.
	Estimate Estimate
	// Arrived is when the entry read the request.
	Arrived time.Time
	// Deadline is when the caller no longer wants the answer.
	Deadline time.Time
}

// Operation is a call to a plain service, whose body is opaque here.
type Operation struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Completion is a call to a model engine.
type Completion struct {
	Model string
	// Prompt is the text that the engine continues, as the caller's messages render to it.
	Prompt string
	// Parameters is the caller's body, passed on to the engine as it came.
	Parameters []byte
	// Chat reports whether the caller used the chat form of the interface.
	Chat bool
	// MaxTokens is the caller's bound on the answer's length, 0 for none.
	MaxTokens int
	// Resume is the part of the answer that the caller already has.
	Resume Resume
	// Priority orders work inside the engine; a lower value runs first.
	Priority int
}

// Resume is the part of an answer that was already relayed to the caller.
type Resume struct {
	Text   string
	Tokens int
}

// Estimate is the expected length of a piece of work.
type Estimate struct {
	Class  Class
	Tokens int
}

// WithAccount returns the request with its client account set.
func (request Request) WithAccount(account string) Request {
	request.Account = account
	return request
}

// WithEstimate returns the request with its expected length set.
func (request Request) WithEstimate(estimate Estimate) Request {
	request.Estimate = estimate
	return request
}

// WithDeadline returns the request with its deadline set.
func (request Request) WithDeadline(deadline time.Time) Request {
	request.Deadline = deadline
	return request
}

// WithResume returns the request with the part of the answer that the caller already has.
func (request Request) WithResume(resume Resume) Request {
	request.Completion.Resume = resume
	return request
}

// WithPriority returns the request with its priority inside the engine set.
func (request Request) WithPriority(priority int) Request {
	request.Completion.Priority = priority
	return request
}

// WithoutContent returns the completion without its prompt, parameters and text so far.
func (completion Completion) WithoutContent() Completion {
	completion.Prompt, completion.Parameters, completion.Resume.Text = "", nil, ""
	return completion
}
