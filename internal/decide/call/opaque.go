package call

import "time"

// HeaderField is one header field of an opaque call or answer.
type HeaderField struct {
	Name  string
	Value string
}

// Opaque is a call that is forwarded byte for byte.
type Opaque struct {
	Method string
	// Target is the request target as the caller sent it, path and query.
	Target string
	// Path is the target without its query.
	Path string
	Host string
	// Key is the caller's access key, empty for none; it is not forwarded.
	Key string
	// Fields are the caller's end-to-end header fields, which are forwarded to the backend server.
	Fields []HeaderField
	Body   []byte
	// Prompt is the caller's description of the prompt, zero for plain services.
	Prompt Prompt
	// ResumeAfter is the ID of the last event that the caller has received, empty for none.
	ResumeAfter string
	// TimeLimit is the caller's time limit for the answer, 0 if it gave none.
	// The JSON name is the one that peers of earlier releases use in forwarded orders.
	TimeLimit time.Duration `json:"Patience"`
}

// Prompt describes the prompt of an opaque call.
type Prompt struct {
	Model string
	// Parts are the parts of the prompt in order; several requests may have parts in common.
	Parts []Part
	// Input is the number of prompt tokens and Output the limit on generated tokens.
	Input  int
	Output int
	// LengthHint is the caller's estimate of the generated tokens, 0 for none. It is often far off.
	LengthHint int
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Tokens returns the number of tokens with which a request counts against a limit, or
// plainTokens if the caller gave no token numbers, as for plain services.
func (prompt Prompt) Tokens(plainTokens int) int {
	if prompt.Input+prompt.Output == 0 {
		return plainTokens
	}
	return prompt.Input + prompt.Output
}

// AnswerHead is the status and header of an opaque answer.
type AnswerHead struct {
	Status int
	// Fields are forwarded to the caller unchanged.
	Fields []HeaderField
	// Length is the length of the body in bytes, negative if the answer does not declare it.
	Length int64
	// NotExecuted reports whether the server declared that it did not run the call.
	NotExecuted bool
	// WrongInstance reports whether another server than the one that the call was meant for now has the address.
	WrongInstance bool
	// ID is the request ID that the server returned with the answer, empty for none.
	ID string
	// Unsigned reports whether the status is a success without the signature that servers give each of their answers, so that
	// the answer is not one of a server.
	Unsigned bool
	// Stream reports whether the body is a stream of events.
	Stream bool
	// EndsWithConnection reports whether nothing but the end of the connection ends the body, which is no proof that it is complete.
	EndsWithConnection bool
	// Leaving reports whether the server said that it is leaving, and accepts no more work.
	Leaving bool
	// RetryAfter is the time for which the server, which turned the call away, wants no calls from this entry, 0 for none.
	RetryAfter time.Duration
	// Load is the load that the server reported with the answer, zero if it reported none.
	Load ServerLoad
}

// ServerLoad is the load that a server reports with an answer.
type ServerLoad struct {
	// Running and Waiting are the numbers of requests that run and that wait for a slot.
	Running int
	Waiting int
	// Slots is the number of requests that the server runs at the same time.
	Slots int
	// Slowdown is the server's current time per unit of work as a multiple of the usual time, 1 for usual
	// and 0 if not reported.
	Slowdown float64
}

// WithOpaque returns the request with its opaque call set.
func (request Request) WithOpaque(opaque Opaque) Request {
	request.Opaque = opaque
	return request
}
