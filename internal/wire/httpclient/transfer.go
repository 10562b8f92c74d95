package httpclient

import (
	"context"
	"io"
	"time"
)

// minAnswerRate is the rate in bytes per second at which a long answer arrives at least. A value of 1 MB takes over a second on a
// link of 10 Mbit/s, which calls use as well.
const minAnswerRate = 250_000

// Transfer ends a call that takes too long for what it transmits: the time that the call has grows with the bytes that
// arrive. One thread may use it at a time.
type Transfer struct {
	cancel    context.CancelCauseFunc
	timer     *time.Timer
	startedAt time.Time
	timeout   time.Duration
	// received is the number of bytes that have arrived.
	received int
}

// StartTransfer returns a transfer that has the time timeout, and a second more for each 250 KB that arrive, and the context that
// ends with it. The caller must call [Transfer.Stop].
func StartTransfer(ctx context.Context, timeout time.Duration) (context.Context, *Transfer) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, &Transfer{cancel: cancel, timer: timer, startedAt: time.Now(), timeout: timeout}
}

// Stop ends the context of the transfer.
func (transfer *Transfer) Stop() {
	transfer.timer.Stop()
	transfer.cancel(nil)
}

// Reader returns a reader of a body whose bytes extend the time of the transfer.
func (transfer *Transfer) Reader(body io.Reader) io.Reader {
	return transferReader{transfer: transfer, body: body}
}

type transferReader struct {
	transfer *Transfer
	body     io.Reader
}

func (reader transferReader) Read(piece []byte) (int, error) {
	count, err := reader.body.Read(piece)
	if count > 0 {
		reader.transfer.extend(count)
	}
	return count, err
}

// extend gives the transfer the time for further bytes, unless its time is over.
func (transfer *Transfer) extend(count int) {
	transfer.received += count
	end := transfer.startedAt.Add(transfer.timeout + time.Duration(transfer.received)*time.Second/minAnswerRate)
	if transfer.timer.Stop() {
		transfer.timer.Reset(time.Until(end))
	}
}
