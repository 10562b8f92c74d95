package openai

import (
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/strictjson"
)

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

// maxTokens bounds the tokens of an answer, beyond any engine's context, so that sums of counts cannot overflow.
const maxTokens = 1 << 24

// Answer is a complete answer or one chunk of a streamed answer, for a prompt or for a chat.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Offset is the index of the chunk's first token in the answer.
	Offset int `json:"offset"`
	// Tokens is the number of tokens in the chunk.
	Tokens int `json:"tokens"`
	// Recomputed is the number of tokens that were computed again to resume the stream; it is
	// set in the final chunk only.
	Recomputed int `json:"recomputed,omitempty"`
}

// Choice is the text of an answer. The interface allows several alternatives; this package supports one.
type Choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage holds the number of tokens of an answer.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// Head holds the fields that all chunks of one answer have in common.
type Head struct {
	ID    string
	Model string
	// Chat reports whether the answer is for a chat rather than a prompt.
	Chat bool
	// Created is in seconds since the Unix epoch.
	Created int64
}

// EncodeChunk returns the JSON data of the event for a chunk.
func EncodeChunk(head Head, chunk call.Chunk) ([]byte, error) {
	choice := Choice{}
	answer := head.answer("text_completion")
	if head.Chat {
		answer.Object = "chat.completion.chunk"
		choice.Delta = &Message{Role: "assistant", Content: chunk.Text}
	} else {
		choice.Text = &chunk.Text
	}
	if chunk.Final {
		choice.FinishReason = &chunk.FinishReason
		answer.Recomputed = chunk.Recomputed
	}
	answer.Choices = []Choice{choice}
	answer.Offset, answer.Tokens = chunk.Offset, chunk.Tokens
	return json.Marshal(answer)
}

// EncodeAnswer returns the JSON body of an answer that is not streamed.
func EncodeAnswer(head Head, text string, tokens int, finishReason string) ([]byte, error) {
	choice := Choice{FinishReason: &finishReason}
	answer := head.answer("text_completion")
	if head.Chat {
		answer.Object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	answer.Choices = []Choice{choice}
	answer.Usage = &Usage{CompletionTokens: tokens}
	answer.Tokens = tokens
	return json.Marshal(answer)
}

// DecodeChunk decodes the JSON data of an event from an engine; the error reports the malformed field.
func DecodeChunk(data []byte) (call.Chunk, error) {
	_, chunk, err := decodeChunk(data)
	return chunk, err
}

// decodeChunk returns the message of a chunk as well, for the fields that all chunks of an answer have in common.
func decodeChunk(data []byte) (Answer, call.Chunk, error) {
	answer, err := decodeAnswer(data)
	if err != nil {
		return Answer{}, call.Chunk{}, fmt.Errorf("chunk: %w", err)
	}
	choice := answer.Choices[0]
	chunk := call.Chunk{Offset: answer.Offset, Tokens: answer.Tokens}
	switch {
	case choice.Text != nil:
		chunk.Text = *choice.Text
	case choice.Delta != nil:
		chunk.Text = choice.Delta.Content
	}
	if choice.FinishReason != nil {
		chunk.Final, chunk.FinishReason, chunk.Recomputed = true, *choice.FinishReason, answer.Recomputed
	}
	return answer, chunk, nil
}

// decodeAnswer decodes a message with one choice and checks what does not depend on other messages.
//
// Bytes that are no UTF-8 are an error, since the decoder would replace them, and callers would get another text than the engine sent.
// So is a repeated field, of which the decoder takes the last, as faulty engines write one message into another.
func decodeAnswer(data []byte) (Answer, error) {
	if !utf8.Valid(data) {
		return Answer{}, errors.New("not UTF-8")
	}
	var answer Answer
	if err := strictjson.Decode(data, &answer); err != nil {
		return Answer{}, err
	}
	if len(answer.Choices) != 1 {
		return Answer{}, fmt.Errorf("%d choices instead of 1", len(answer.Choices))
	}
	if answer.Offset < 0 || answer.Tokens < 0 || answer.Recomputed < 0 {
		return Answer{}, fmt.Errorf("offset %d, tokens %d and recomputed %d must not be negative", answer.Offset, answer.Tokens, answer.Recomputed)
	}
	if answer.Offset > maxTokens || answer.Tokens > maxTokens {
		return Answer{}, fmt.Errorf("offset %d and tokens %d do not fit an answer", answer.Offset, answer.Tokens)
	}
	choice := answer.Choices[0]
	if choice.Index != 0 {
		return Answer{}, fmt.Errorf("choice %d instead of 0", choice.Index)
	}
	if answer.Tokens > 0 && choice.Text == nil && choice.Delta == nil {
		return Answer{}, fmt.Errorf("%d tokens without a text", answer.Tokens)
	}
	return answer, nil
}

// answer returns an answer of the given object type without choices.
func (head Head) answer(object string) Answer {
	return Answer{ID: head.ID, Object: object, Created: head.Created, Model: head.Model}
}
