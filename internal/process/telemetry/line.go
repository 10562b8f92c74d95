package telemetry

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// The bounds of the line of a call. Up to 4,096 lines wait for the reader of the log, and details quote bytes of servers.
const (
	// maxLoggedDecisions is the number of decisions in a line. Of more, the first ones and the last ones are logged.
	maxLoggedDecisions   = 32
	firstLoggedDecisions = 8
	// maxDecisionsBytes bounds the details of all decisions of a line together, and maxDetailBytes that of one.
	maxDecisionsBytes = 8 << 10
	maxDetailBytes    = 1 << 10
	// maxNameBytes bounds ids, steps, reasons and the names of servers.
	maxNameBytes = 128
	// endShare is the share of a text that is too long which is kept of its end.
	endShare = 0.25
)

// stepLog and reasonLeftOut are the step and the reason in place of the decisions that a line leaves out.
const (
	stepLog       = "log"
	reasonLeftOut = "LeftOut"
)

// decisionTexts returns the decisions of a call for its line, each as "STEP REASON SERVER DETAIL".
func decisionTexts(decisions []request.Decision) []string {
	leftOut := len(decisions) - maxLoggedDecisions
	detailBytes := min(maxDetailBytes, maxDecisionsBytes/max(1, min(len(decisions), maxLoggedDecisions)))
	var texts []string
	for i, decision := range decisions {
		switch {
		case leftOut > 0 && i == firstLoggedDecisions:
			texts = append(texts, fmt.Sprintf("%s %s  %d decisions", stepLog, reasonLeftOut, leftOut))
			continue
		case leftOut > 0 && i > firstLoggedDecisions && i < firstLoggedDecisions+leftOut:
			continue
		}
		texts = append(texts, strings.Join([]string{
			boundedText(decision.Step, maxNameBytes), boundedText(decision.Reason, maxNameBytes), boundedText(decision.Peer, maxNameBytes),
			boundedText(decision.Detail, detailBytes),
		}, " "))
	}
	return texts
}

// shortened stands in place of the middle of a text that is too long.
const shortened = " ...(shortened)... "

// boundedText returns the text with at most limit bytes beside the mark of what is left out of its middle. What does not print, or is no
// UTF-8, is replaced by Go escapes first, so that JSON at most doubles the length.
func boundedText(text string, limit int) string {
	if len(text) > 2*limit {
		// Escapes make a text longer, so nothing between these two parts is kept.
		text = text[:limit] + text[len(text)-limit:]
	}
	text = printable(text)
	if len(text) <= limit {
		return text
	}
	end := int(float64(limit) * endShare)
	head, tail := text[:limit-end], text[len(text)-end:]
	return strings.TrimRightFunc(head, isBroken) + shortened + strings.TrimLeftFunc(tail, isBroken)
}

// printable returns the text with escapes in place of what does not print.
func printable(text string) string {
	isPrintable := func(char rune) bool { return char != utf8.RuneError && strconv.IsPrint(char) }
	if strings.IndexFunc(text, func(char rune) bool { return !isPrintable(char) }) < 0 {
		return text
	}
	var builder strings.Builder
	for len(text) > 0 {
		char, size := utf8.DecodeRuneInString(text)
		if isPrintable(char) {
			builder.WriteString(text[:size])
		} else {
			quoted := strconv.QuoteToASCII(text[:size])
			builder.WriteString(quoted[1 : len(quoted)-1])
		}
		text = text[size:]
	}
	return builder.String()
}

// isBroken reports whether a character is the remainder of one that was cut.
func isBroken(char rune) bool { return char == utf8.RuneError }
