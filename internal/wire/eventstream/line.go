package eventstream

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"
)

// maxQuotedBytes bounds the part of a faulty line that an error quotes.
const maxQuotedBytes = 64

// cutLine returns the first line of a text and its end.
func cutLine(text []byte) (line, end []byte) {
	length := bytes.IndexAny(text, lineEnds)
	if length < 0 {
		return text, nil
	}
	line, rest := text[:length], text[length:]
	if bytes.HasPrefix(rest, []byte("\r\n")) {
		return line, rest[:2]
	}
	return line, rest[:1]
}

// isText reports whether a line is UTF-8 without the control characters that JSON escapes, other than tabs. Further ones, such as
// U+0085, may stand in the text of an answer as they are.
func isText(line []byte) bool {
	return utf8.Valid(line) && !bytes.ContainsFunc(line, func(char rune) bool { return char < ' ' && char != '\t' })
}

// withoutCutRune returns a text without a character at its end of which bytes are missing.
func withoutCutRune(text []byte) []byte {
	for back := 1; back <= min(utf8.UTFMax-1, len(text)); back++ {
		if start := len(text) - back; utf8.RuneStart(text[start]) {
			if !utf8.FullRune(text[start:]) {
				return text[:start]
			}
			break
		}
	}
	return text
}

// mayBeIgnored reports whether the beginning of a line may be that of a comment or of the field retry.
func mayBeIgnored(begun string) bool {
	return begun == "" || begun[0] == ':' || strings.HasPrefix(fieldRetry+":", begun) || strings.HasPrefix(begun, fieldRetry+":")
}

// checkNumber returns an error if the value of a field is no decimal number.
func checkNumber(name string, value []byte) error {
	if len(value) == 0 || bytes.ContainsFunc(value, func(char rune) bool { return char < '0' || char > '9' }) {
		return fmt.Errorf("a value of %s that is no number", name)
	}
	return nil
}

// quote returns the beginning of a text in quotes, with escapes in place of all bytes that are not printable.
func quote(text []byte) string {
	if len(text) > maxQuotedBytes {
		return fmt.Sprintf("%q and %d bytes more", text[:maxQuotedBytes], len(text)-maxQuotedBytes)
	}
	return fmt.Sprintf("%q", text)
}
