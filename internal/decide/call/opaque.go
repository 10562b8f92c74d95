package call

import "time"

// Field is one header field of an opaque call or answer.
type Field struct {
	Name  string
	Value string
}

// Opaque is a call that is passed on byte for byte.
type Opaque struct {
	Method string
	// Target is the request target as the caller wrote it, path and query.
	Target string
	// Path is the target without its query.
	Path string
	Host string
	// Key is the caller's access key, empty for none; it is not passed on.
	Key string
	// Fields are the caller's header fields that concern the whole way to the backend server.
	Fields []Field
	Body   []byte
	// Prompt is what the caller states of the prompt, zero for plain services.
	Prompt Prompt
	// ResumeAfter is the id of the last event that the caller has, empty for none.
	ResumeAfter string
	// Patience is how long the caller will wait, 0 if it does not say.
	Patience time.Duration
}

// Prompt describes the prompt of an opaque call.
type Prompt struct {
	Model string
	// Parts are the parts of the prompt in order; requests share parts.
	Parts []Part
	// Input is the number of prompt tokens and Output the limit on generated tokens.
	Input  int
	Output int
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Tokens returns the tokens that a request counts against a limit, or plain if it states none.
func (prompt Prompt) Tokens(plain int) int {
	if prompt.Input+prompt.Output == 0 {
		return plain
	}
	return prompt.Input + prompt.Output
}

// AnswerHead is the head of an opaque answer.
type AnswerHead struct {
	Status int
	// Fields are passed on to the caller as they came.
	Fields []Field
	// Length is the number of bytes of the body, negative when it is not stated.
	Length int64
	// NotExecuted reports that the server states that it did not run the call.
	NotExecuted bool
	// WrongInstance reports that another server has the address now.
	WrongInstance bool
	// ID is the request id that the server echoed, empty for none.
	ID string
	// Stream reports that the body is a series of events.
	Stream bool
	// Load is what the server reports of itself, zero for nothing.
	Load ServerLoad
}

// ServerLoad is the load that a server states in an answer.
type ServerLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes at the moment in relation to the usual, 1 for the usual and 0 if not stated.
	Slowdown float64
}

// WithOpaque returns the request with the call that is passed on byte for byte.
func (request Request) WithOpaque(opaque Opaque) Request {
	request.Opaque = opaque
	return request
}
