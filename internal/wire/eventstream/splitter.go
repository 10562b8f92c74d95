package eventstream

import (
	"bytes"
	"slices"
	"strings"
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
	// afterCR reports whether the last byte was a CR. An LF that follows it ends the same line.
	afterCR bool
}

const (
	// lineEnds are the bytes that end a line, alone or as CR LF.
	lineEnds = "\r\n"
	// cutBlankLine ends a block with lines that end with CR LF and a blank line that has only its CR so far.
	cutBlankLine = "\r\n\r"
)

// WithPiece returns the splitter after a piece of the stream has arrived, and the blocks that the piece completes. The texts of the
// blocks may share memory with the piece.
func (splitter Splitter) WithPiece(piece []byte) (Splitter, []Block) {
	if len(piece) == 0 {
		return splitter, nil
	}
	text, start, lineStart, next := piece, 0, splitter.lineStart, len(splitter.begun)
	if len(splitter.begun) > 0 {
		text = append(slices.Clip(splitter.begun), piece...)
	}
	var blocks []Block
	if splitter.afterCR && piece[0] == '\n' {
		// The block before did not wait for the LF, which is a block of its own if it begins one.
		next++
		lineStart = next
		if len(splitter.begun) == 0 {
			blocks, start = append(blocks, Block{Text: text[:next]}), next
		}
	}
	if bytes.HasSuffix(splitter.begun, []byte(cutBlankLine)) {
		blocks, start, lineStart = append(blocks, parse(text[:next])), next, next
	}
	for {
		length := bytes.IndexAny(text[next:], lineEnds)
		if length < 0 {
			break
		}
		lineEnd := next + length
		next = lineEnd + 1
		if text[lineEnd] == '\r' && next < len(text) && text[next] == '\n' {
			next++
		}
		if lineEnd == lineStart {
			if next == len(text) && bytes.HasSuffix(text[start:next], []byte(cutBlankLine)) {
				break // The LF may follow in the next piece.
			}
			blocks = append(blocks, parse(text[start:next]))
			start = next
		}
		lineStart = next
	}
	return Splitter{begun: bytes.Clone(text[start:]), lineStart: lineStart - start, afterCR: piece[len(piece)-1] == '\r'}, blocks
}

// Begun returns the number of bytes of the block whose end has not arrived. The splitter keeps them and does not limit them.
func (splitter Splitter) Begun() int { return len(splitter.begun) }

// Rest returns the block whose end has not arrived. A stream that ends while this is an event was broken off.
func (splitter Splitter) Rest() Block { return parse(splitter.begun) }

// parse returns the block with a text, which may lack its end.
func parse(text []byte) Block {
	block := Block{Text: text}
	for line := range bytes.FieldsFuncSeq(text, func(char rune) bool { return strings.ContainsRune(lineEnds, char) }) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "", fieldRetry:
			continue
		case fieldID:
			block.ID = string(bytes.TrimSpace(value))
		}
		block.IsEvent = true
	}
	return block
}
