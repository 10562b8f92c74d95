package openai

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// The paths of the interface.
const (
	CompletionsPath = "/v1/completions"
	ChatPath        = "/v1/chat/completions"
)

// Request is the body of a completion request, for a prompt or for a chat.
type Request struct {
	Model               string    `json:"model"`
	Prompt              string    `json:"prompt,omitempty"`
	Messages            []Message `json:"messages,omitempty"`
	MaxTokens           int       `json:"max_tokens,omitempty"`
	MaxCompletionTokens int       `json:"max_completion_tokens,omitempty"`
	Count               *int      `json:"n,omitempty"`
	Stream              bool      `json:"stream,omitempty"`
	// Priority orders the work in the engine; a lower value runs first.
	Priority int `json:"priority,omitempty"`
	// Resume is the start of the answer that the engine continues and does not send again.
	Resume *Resume `json:"resume,omitempty"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Resume is the part of an answer that was relayed before the stream was interrupted.
type Resume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// DecodeRequest decodes and checks a request body; the error contains the field that is malformed or missing.
func DecodeRequest(body []byte, chat bool) (Request, error) {
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		return Request{}, fmt.Errorf("body: %w", err)
	}
	switch {
	case request.Model == "":
		return Request{}, errors.New("model: missing")
	case chat && len(request.Messages) == 0:
		return Request{}, errors.New("messages: missing")
	case !chat && request.Prompt == "":
		return Request{}, errors.New("prompt: missing")
	case request.Count != nil && *request.Count != 1:
		return Request{}, fmt.Errorf("n: %d is not supported, only 1", *request.Count)
	case request.MaxTokens < 0 || request.MaxCompletionTokens < 0:
		return Request{}, errors.New("max_tokens: less than 0")
	}
	return request, nil
}

// Completion converts the request to a completion, with body as its parameters for the engine.
func (request Request) Completion(body []byte, chat bool) call.Completion {
	completion := call.Completion{
		Model:      request.Model,
		Prompt:     request.text(chat),
		Parameters: body,
		Chat:       chat,
		MaxTokens:  max(request.MaxTokens, request.MaxCompletionTokens),
		Priority:   request.Priority,
	}
	if request.Resume != nil {
		completion.Resume = call.Resume{Text: request.Resume.Text, Tokens: request.Resume.Tokens}
	}
	return completion
}

// text returns the prompt, or the messages of a chat with one line each.
func (request Request) text(chat bool) string {
	if !chat {
		return request.Prompt
	}
	var text strings.Builder
	for _, message := range request.Messages {
		fmt.Fprintf(&text, "%s: %s\n", message.Role, message.Content)
	}
	return text.String()
}

// EncodeForEngine returns the caller's JSON body with the fields that the entry sets.
//
// All other fields of the caller, such as temperature, stay unchanged.
func EncodeForEngine(completion call.Completion) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if len(completion.Parameters) > 0 {
		if err := json.Unmarshal(completion.Parameters, &fields); err != nil {
			return nil, fmt.Errorf("caller's body: %w", err)
		}
	}
	entryFields := map[string]any{"model": completion.Model, "stream": true, "priority": completion.Priority}
	if len(completion.Parameters) == 0 {
		entryFields["prompt"] = completion.Prompt
	}
	if completion.MaxTokens > 0 {
		entryFields["max_tokens"] = completion.MaxTokens
	}
	if completion.Resume.Tokens > 0 {
		entryFields["resume"] = Resume{Text: completion.Resume.Text, Tokens: completion.Resume.Tokens}
	}
	for name, value := range entryFields {
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		fields[name] = encoded
	}
	return json.Marshal(fields)
}
