package platform

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// The names of what a [Garbling] is composed of.
type (
	// Framing is what delimits a stream.
	Framing string
	// Layer is the part of an answer that is garbled.
	Layer string
	// Content is what the garbage consists of.
	Content string
	// Delivery is how the garbage is written.
	Delivery string
	// Ending is what happens to the connection after the garbage.
	Ending string
)

// The framings.
const (
	FramingChunked  Framing = "chunked"
	FramingLength   Framing = "length"
	FramingUnframed Framing = "unframed"
)

// The layers. The sizes, the chunk and the trailers are those of chunked streams.
const (
	// LayerHead is garbage in front of the head.
	LayerHead Layer = "in front of the head"
	// LayerBetween is garbage between two events, and in a chunked stream between their chunks.
	LayerBetween Layer = "between events"
	// LayerAdded is garbage added to an event, whose chunk keeps its former size.
	LayerAdded Layer = "added to an event"
	// LayerReplaced is garbage in place of bytes of an event.
	LayerReplaced Layer = "in place of bytes of an event"
	// LayerSize is garbage in place of a chunk's size.
	LayerSize Layer = "in place of a size"
	// LayerWrongSize is a size that parses, in front of the size of a chunk or in its place.
	LayerWrongSize Layer = "wrong size"
	// LayerChunk is garbage as a well-formed chunk.
	LayerChunk Layer = "chunk of its own"
	// LayerTrailer is garbage in the trailer after all events.
	LayerTrailer Layer = "trailer"
	// LayerEarlyTrailer is garbage in a trailer that comes before the last event.
	LayerEarlyTrailer Layer = "early trailer"
	// LayerBehind is garbage behind the end of the answer, where the next answer on the connection is expected.
	LayerBehind Layer = "behind the end"
	// LayerBody is a complete answer of another content type whose body is garbage.
	LayerBody Layer = "body of another type"
)

// The contents. The last two are no garbage to readers of event streams, which skip them.
const (
	ContentNoID          Content = "block without an id"
	ContentWord          Content = "word without a colon"
	ContentNoText        Content = "bytes that are no text"
	ContentJunkComment   Content = "junk in a comment"
	ContentJunkRetry     Content = "junk in retry"
	ContentUnknownField  Content = "unknown field"
	ContentSecondID      Content = "second id"
	ContentIDNoNumber    Content = "id that is no number"
	ContentRepeatedEvent Content = "repeated event"
	ContentOtherAnswer   Content = "beginning of another answer"
	ContentLongLine      Content = "long line"
	ContentLongComment   Content = "long comment"
	ContentSize          Content = "size"
	ContentSoundComment  Content = "sound comment"
	ContentBlankLines    Content = "blank lines"
)

// The deliveries.
const (
	DeliveryWithEvent  Delivery = "with what is before it"
	DeliveryAfterPause Delivery = "after a pause"
	DeliveryInPieces   Delivery = "in pieces"
)

// The endings.
const (
	EndingGoesOn Ending = "the answer goes on"
	EndingClosed Ending = "closed"
	EndingReset  Ending = "reset"
	EndingSilent Ending = "silent"
)

var (
	framings   = []Framing{FramingChunked, FramingChunked, FramingLength, FramingUnframed}
	layers     = []Layer{LayerHead, LayerBetween, LayerAdded, LayerReplaced, LayerSize, LayerWrongSize, LayerChunk, LayerTrailer, LayerEarlyTrailer, LayerBehind, LayerBody}
	contents   = []Content{ContentNoID, ContentWord, ContentNoText, ContentJunkComment, ContentJunkRetry, ContentUnknownField, ContentSecondID, ContentIDNoNumber, ContentRepeatedEvent, ContentOtherAnswer, ContentLongLine, ContentLongComment, ContentSize, ContentSoundComment, ContentBlankLines}
	deliveries = []Delivery{DeliveryWithEvent, DeliveryAfterPause, DeliveryInPieces}
	endings    = []Ending{EndingGoesOn, EndingClosed, EndingReset, EndingSilent}
)

// longLineBytes exceeds the 4 KiB that readers of HTTP keep of a line.
const longLineBytes = 5 << 10

// Garbling is what a runner did to the bytes of one streamed answer, its head and framing included. It is immutable.
//
// Some faults cannot be told from a sound stream by any reader and are not drawn: a well-formed event with an id that may come next, and
// a well-formed end of the stream right after a whole event, which is "0" with an empty line, or the close of an unframed connection.
type Garbling struct {
	Framing  Framing
	Layer    Layer
	Content  Content
	Delivery Delivery
	Ending   Ending
	// Start is the index of the first event of the stream, and At that of the event that is garbled or that the garbage precedes.
	Start, At int
	// Garbage holds the bytes.
	Garbage string
}

// GarblingKinds returns the names of all framings, layers, contents, deliveries and endings.
func GarblingKinds() []string {
	kinds := append(names(framings), names(layers)...)
	kinds = append(append(kinds, names(contents)...), names(deliveries)...)
	return append(kinds, names(endings)...)
}

// names returns the values of an enumeration as strings.
func names[Name ~string](values []Name) []string {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = string(value)
	}
	return texts
}

// Kinds returns the names of the garbling's framing, layer, content, delivery and ending.
func (garbling Garbling) Kinds() []string {
	return []string{string(garbling.Framing), string(garbling.Layer), string(garbling.Content), string(garbling.Delivery), string(garbling.Ending)}
}

// String returns the kinds, the position and the beginning of the garbage.
func (garbling Garbling) String() string {
	return fmt.Sprintf("{%s; events from %d, garbage at %d: %.60q}", strings.Join(garbling.Kinds(), "; "), garbling.Start+1, garbling.At+1, garbling.Garbage)
}

// drawGarbling returns what is done to a stream that begins with the event at index start. The layer is drawn first, so that all are
// equally frequent.
func drawGarbling(start int) Garbling {
	layer := draw(layers)
	if start == StreamEvents && layer.needsEvent() {
		layer = LayerBetween
	}
	for {
		garbling := Garbling{
			Layer: layer, Framing: draw(framings), Content: draw(contents), Delivery: draw(deliveries), Ending: draw(endings),
			Start: start, At: start + rand.IntN(StreamEvents-start+1),
		}
		if garbling.isDetectable() {
			return garbling.withGarbage()
		}
	}
}

// draw returns one of the choices.
func draw[Choice any](choices []Choice) Choice { return choices[rand.IntN(len(choices))] }

// isDetectable reports whether the parts of a garbling fit together and can be told from a sound stream.
func (garbling Garbling) isDetectable() bool {
	return garbling.layerFits() && garbling.contentFits() && garbling.endingFits()
}

// needsEvent reports whether only streams with an event have the layer.
func (layer Layer) needsEvent() bool {
	return slices.Contains([]Layer{LayerAdded, LayerReplaced, LayerSize, LayerWrongSize, LayerEarlyTrailer}, layer)
}

// layerFits reports whether streams of the framing have the layer at the position.
func (garbling Garbling) layerFits() bool {
	isLast := garbling.At == StreamEvents
	if isLast && garbling.Layer.needsEvent() {
		return false
	}
	switch garbling.Layer {
	case LayerSize, LayerWrongSize, LayerEarlyTrailer, LayerChunk:
		return garbling.Framing == FramingChunked
	case LayerTrailer:
		return garbling.Framing == FramingChunked && isLast
	case LayerBehind:
		return garbling.Framing != FramingUnframed && isLast
	case LayerBody:
		return garbling.Framing != FramingUnframed
	}
	return true
}

// contentFits reports whether the content can be told from a sound stream in the layer.
func (garbling Garbling) contentFits() bool {
	switch {
	case garbling.Content == ContentSize || garbling.Layer == LayerWrongSize:
		return garbling.Content == ContentSize && garbling.Layer == LayerWrongSize
	case garbling.Content == ContentRepeatedEvent && (garbling.At == 0 || garbling.Layer == LayerBody):
		return false // An id 0 may be the first one of a stream, and so may any other in a body without events.
	case garbling.Layer == LayerReplaced:
		return garbling.Content == ContentNoText || garbling.Content == ContentUnknownField
	case garbling.Layer == LayerEarlyTrailer:
		return garbling.Content != ContentBlankLines // "0" and an empty line are a well-formed end.
	case garbling.Layer == LayerBody:
		return !garbling.isHarmless() // As a stream, this body has a well-formed end.
	}
	return true
}

// endingFits reports whether the end of the connection can be told from that of a sound stream.
func (garbling Garbling) endingFits() bool {
	return garbling.Framing != FramingUnframed || garbling.Layer != LayerBetween || !garbling.isHarmless() || garbling.Ending == EndingGoesOn || garbling.Ending == EndingReset
}

// isHarmless reports whether the content is a block that readers of event streams skip.
func (garbling Garbling) isHarmless() bool {
	return garbling.Content == ContentSoundComment || garbling.Content == ContentBlankLines
}

// withGarbage returns the garbling with bytes of its content.
func (garbling Garbling) withGarbage() Garbling {
	due := garbling.At + 1
	longLine := strings.Repeat("x", longLineBytes)
	garbling.Garbage = draw(map[Content][]string{
		ContentNoID: {"data: garbage\n\n", "data\n\n", "event: garbage\ndata: garbage\n\n"},
		ContentWord: {"garbage", "garbage\n", "garbage\n\n", "\n\ngarbage\n\n"},
		ContentNoText: {
			"\x00\x8f\xfe garbage\n\n", "\x1b[2J\n\n", "data: \xff\xfe\n\n",
			fmt.Sprintf("id: %d\ndata: \xff\xfe\n\n", due), fmt.Sprintf("id: %d\ndata: a\x00b\n\n", due),
		},
		ContentJunkComment:  {": \x00\xff junk\n\n", ":\x8f\n\n"},
		ContentJunkRetry:    {"retry: junk\n\n", "retry: -1\n\n", "retry: \xff\n\n"},
		ContentUnknownField: {fmt.Sprintf("id: %d\ndata: garbage\ngarbage: 1\n\n", due), fmt.Sprintf("garbage: 1\nid: %d\ndata: garbage\n\n", due)},
		ContentSecondID: {
			fmt.Sprintf("id: %d\nid: %d\ndata: garbage\n\n", due, due+1), fmt.Sprintf("id: %d\ndata: garbage\nid: %d\n\n", due, due),
			fmt.Sprintf("id: garbage\nid: %d\ndata: garbage\n\n", due),
		},
		ContentIDNoNumber:    {"id: garbage\ndata: garbage\n\n", "id:\ndata: garbage\n\n", "id: -1\ndata: garbage\n\n"},
		ContentRepeatedEvent: {encodeEvent("garbage", garbling.At-1)},
		ContentOtherAnswer: {
			"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: garbage\n\n", "HTTP/1.1 200 OK\r\nContent-Le",
			"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\n\r\ngarbage",
		},
		ContentLongLine:     {longLine, "data: " + longLine},
		ContentLongComment:  {": " + longLine},
		ContentSize:         {"1\r\n", "a\r\n", "c\n", "7f\r\n", "fff\r\n", "a;garbage\r\n"},
		ContentSoundComment: {": keep-alive\n\n", ":\n\n"},
		ContentBlankLines:   {"\n", "\n\n\n", "\r\n\r\n"},
	}[garbling.Content])
	return garbling
}

// garbledEvent returns the event at a position with garbage added to it or in place of some of its bytes.
func (garbling Garbling) garbledEvent(event string) string {
	afterID := strings.IndexByte(event, '\n') + 1
	afterName := afterID + len("data: ")
	switch {
	case garbling.Layer == LayerReplaced && garbling.Content == ContentUnknownField:
		return draw([]string{strings.Replace(event, "id", "xx", 1), strings.Replace(event, "data", "xxxx", 1)})
	case garbling.Layer == LayerReplaced:
		const junk = "\x00\xfe\x01"
		position := rand.IntN(len(event) - len(junk) + 1)
		return event[:position] + junk + event[position+len(junk):]
	case garbling.Content == ContentNoID || garbling.Content == ContentLongLine || rand.IntN(2) == 0:
		// Without the control character, this would be an event with other data, and right after the id, one with garbage as its data.
		position := afterName + rand.IntN(len(event)-len("\n\n")-afterName+1)
		return event[:position] + "\x00" + garbling.Garbage + event[position:]
	}
	return event[:afterID] + garbling.Garbage + event[afterID:]
}

// contentTypes are those of [LayerBody] answers, as lines of the head.
var contentTypes = []string{"Content-Type: application/json\r\n", "Content-Type: text/plain\r\n", ""}

// contentType returns the line of the head with the content type.
func (garbling Garbling) contentType() string {
	if garbling.Layer == LayerBody {
		return draw(contentTypes)
	}
	return "Content-Type: text/event-stream\r\n"
}

// encode returns the bytes of an answer, of which fields are lines of the head: pieces before the garbage, the garbage with what it
// garbles, and the pieces of the answer after that.
func (garbling Garbling) encode(fields, attempt string) (before []string, garbled string, after []string) {
	events := make([]string, StreamEvents)
	for index := range events {
		events[index] = encodeEvent(attempt, index)
	}
	head := "HTTP/1.1 200 OK\r\n" + fields + garbling.contentType() + garbling.framingField(events) + "\r\n"
	if garbling.Layer == LayerBody {
		return []string{head}, garbling.frame(garbling.Garbage) + garbling.end(), nil
	}
	earlier, rest := garbling.frames(events[garbling.Start:garbling.At]), garbling.frames(events[garbling.At:])
	before, after = slices.Concat([]string{head}, earlier), slices.Concat(rest, []string{garbling.end()})
	switch garbling.Layer {
	case LayerHead:
		return nil, garbling.Garbage, slices.Concat(before, after)
	case LayerAdded, LayerReplaced:
		event := events[garbling.At]
		return before, strings.Replace(rest[0], event, garbling.garbledEvent(event), 1), after[1:]
	case LayerSize:
		return before, garbling.Garbage + draw([]string{"", "\r\n"}) + events[garbling.At] + "\r\n", after[1:]
	case LayerWrongSize:
		// In place of the chunk's size, or in front of it as returned below.
		if rand.IntN(2) == 0 {
			return before, garbling.Garbage + events[garbling.At] + "\r\n", after[1:]
		}
	case LayerChunk:
		return before, garbling.frame(garbling.Garbage), after
	case LayerTrailer, LayerEarlyTrailer:
		// A line end right after "0" would make a well-formed end of it.
		return before, "0\r\n" + strings.TrimLeft(garbling.Garbage, "\r\n") + "\r\n\r\n", rest
	case LayerBehind:
		return slices.Concat(before, after), garbling.Garbage, nil
	}
	return before, garbling.Garbage, after
}

// framingField returns the line of the head that says how the body is framed. A length includes the garbage only if it is harmless, since
// a stream that is cut to its length could otherwise have a well-formed end.
func (garbling Garbling) framingField(events []string) string {
	length := len(strings.Join(events[garbling.Start:], ""))
	switch {
	case garbling.Framing == FramingChunked:
		return "Transfer-Encoding: chunked\r\n"
	case garbling.Framing == FramingUnframed:
		return ""
	case garbling.Layer == LayerBody:
		length = len(garbling.Garbage)
	case garbling.Layer == LayerBetween && garbling.isHarmless():
		length += len(garbling.Garbage)
	}
	return fmt.Sprintf("Content-Length: %d\r\n", length)
}

// frames returns events as parts of the body.
func (garbling Garbling) frames(events []string) []string {
	framed := make([]string, len(events))
	for i, event := range events {
		framed[i] = garbling.frame(event)
	}
	return framed
}

// frame returns a text as a part of the body.
func (garbling Garbling) frame(text string) string {
	if garbling.Framing == FramingChunked {
		return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	return text
}

// end returns the bytes that end the body.
func (garbling Garbling) end() string {
	if garbling.Framing == FramingChunked {
		return "0\r\n\r\n"
	}
	return ""
}
