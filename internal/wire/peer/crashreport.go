package peer

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
)

// crashReportKeyParts is the number of parts of an item's key: content hash, account and server.
const crashReportKeyParts = 3

// EncodeCrashReport returns the item that sends a crash report to peers.
//
// The key is "CONTENT/ACCOUNT/SERVER" with the content hash in hexadecimal. The
// payload is the time in nanoseconds since the Unix epoch as a varint.
func EncodeCrashReport(report suspect.Report) membership.Item {
	return membership.Item{
		Kind:    membership.KindSuspectRequest,
		Key:     fmt.Sprintf("%x/%s/%s", report.Fingerprint.Content, report.Fingerprint.Account, report.Server),
		Payload: binary.AppendVarint(nil, report.At.UnixNano()),
		Expires: report.Expires().Unix(),
	}
}

// DecodeCrashReport returns the crash report in an item, and false if the item is malformed.
//
// One from the future is malformed: it would count until its time has come, and no completion of the request before that would clear it.
func DecodeCrashReport(item membership.Item) (suspect.Report, bool) {
	parts := strings.Split(item.Key, "/")
	if len(parts) != crashReportKeyParts {
		return suspect.Report{}, false
	}
	content, err := strconv.ParseUint(parts[0], 16, 64)
	crashedAtNs, bytesRead := binary.Varint(item.Payload)
	if err != nil || bytesRead <= 0 || bytesRead != len(item.Payload) {
		return suspect.Report{}, false
	}
	crashedAt := time.Unix(0, crashedAtNs)
	if time.Until(crashedAt) > suspect.MaxClockLead {
		return suspect.Report{}, false
	}
	return suspect.Report{
		Fingerprint: suspect.Fingerprint{Account: parts[1], Content: content},
		Server:      parts[2],
		At:          crashedAt,
	}, true
}
