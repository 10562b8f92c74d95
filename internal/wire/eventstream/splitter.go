package eventstream

import (
	"bytes"
	"slices"
)

// Block is a part of a stream up to a blank line.
type Block struct {
	// Text is the block as it came, with the blank line that ends it.
	Text []byte
	// ID is the value of the last field id, empty for none.
	ID string
	// IsEvent reports whether the block has more than comments and the field retry.
	IsEvent bool
}

// Splitter holds the beginning of a block whose end has not arrived. It is immutable; the zero value is a stream of which
// nothing has arrived.
type Splitter struct {
	begun []byte
	// lineStart is the index in begun of the first byte of the current line.
	lineStart int
}

// WithPiece returns the splitter after a piece of the stream has arrived, and the blocks that the piece completes. The texts of the
// blocks may share memory with the piece.
func (splitter Splitter) WithPiece(piece []byte) (Splitter, []Block) {
	text := piece
	if len(splitter.begun) > 0 {
		text = append(slices.Clip(splitter.begun), piece...)
	}
	var blocks []Block
	start, lineStart, next := 0, splitter.lineStart, len(splitter.begun)
	for {
		length := bytes.IndexByte(text[next:], '\n')
		if length < 0 {
			break
		}
		lineEnd := next + length
		next = lineEnd + 1
		if lineEnd == lineStart {
			blocks = append(blocks, parse(text[start:next]))
			start = next
		}
		lineStart = next
	}
	return Splitter{begun: bytes.Clone(text[start:]), lineStart: lineStart - start}, blocks
}

// Rest returns the block whose end has not arrived. A stream that ends while this is an event was broken off.
func (splitter Splitter) Rest() Block { return parse(splitter.begun) }

// parse returns the block with a text, which may lack its end.
func parse(text []byte) Block {
	block := Block{Text: text}
	for line := range bytes.SplitSeq(text, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "", "retry":
			continue
		case "id":
			block.ID = string(bytes.TrimSpace(value))
		}
		block.IsEvent = true
	}
	return block
}
