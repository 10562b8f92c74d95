package quota

import "time"

const (
	// allowanceShare is the part of the allowance of a window that may be planned with. The rest covers the errors of the
	// estimates of what peers admit.
	allowanceShare = 0.3
	// nearLimit is the multiple of the limit up to which all that is asked for is admitted while the windows have room, since the
	// estimate of what is asked for varies by chance.
	nearLimit = 1.15
	// allAdmitted is the part of what a peer is asked for from which on it is taken to admit all.
	allAdmitted = 0.8
	// maxReportDelay is the delay of reports that a history covers beside a window, and maxWindow the longest window.
	maxReportDelay = 2 * time.Second
	maxWindow      = slotCount*slotTime - maxReportDelay
)

// Window is the rule by which a limit is judged: in any time of its Length, all entries together admit at most
// (rate x Length + burst) x (1 + Over) + Slack. The zero value has no rule.
type Window struct {
	Length time.Duration
	// Over is the allowance as a fraction of the limit, and Slack one in the unit of the limit.
	Over  float64
	Slack float64
}

// WithWindow returns the bucket with a rule, by which it pays back an excess only as far as the windows that contain it need
// that. A window that is too long for the history is no rule.
func (bucket Bucket) WithWindow(window Window) Bucket {
	if window.Length > maxWindow || window.Length < minRateWindow {
		window = Window{}
	}
	bucket.window = window
	return bucket
}

// ExceedsWindow reports whether a request is larger than what all entries may admit in a window together, so that it can never be admitted.
// Without a rule there is no such size. A request of an account that counts requests has the size 1, and its rate may be lower than
// one in a window.
func (bucket Bucket) ExceedsWindow(size float64) bool {
	window := bucket.window
	allowed := (bucket.rate*window.Length.Seconds()+bucket.burst)*(1+window.Over) + window.Slack
	return window.Length > 0 && size > max(1, allowed)
}

// plannedSize returns what may be admitted in a window.
func (bucket Bucket) plannedSize() float64 {
	return (bucket.rate*bucket.window.Length.Seconds()+bucket.burst)*(1+allowanceShare*bucket.window.Over) + allowanceShare*bucket.window.Slack
}

// windowRate returns the rate at which all entries may admit until each window that ends within its length from now has
// ended.
func (bucket Bucket) windowRate(now time.Duration) float64 {
	planned, length, growth := bucket.plannedSize(), bucket.window.Length, bucket.growth(now)
	admitted := 0.0
	lowest := planned / length.Seconds()
	// The windows are taken from the last one on, so that each adds one slot to the sum.
	for slot := slotOf(now); ; slot-- {
		begin := time.Duration(slot) * slotTime
		left := length - (now - begin)
		if left < bucket.delay {
			return max(0, lowest)
		}
		admitted += bucket.history.at(slot)
		lowest = min(lowest, (planned-admitted-bucket.unreported(begin, now, growth))/left.Seconds())
	}
}

// unreported returns what peers are estimated to have admitted after a time and since their reports. Those that admit all that
// they are asked for admit more by the growth of that.
func (bucket Bucket) unreported(since, now time.Duration, growth float64) float64 {
	size := 0.0
	for _, peer := range bucket.peers {
		factor := 1.0
		if peer.admittedRate > allAdmitted*peer.askedRate {
			factor = max(1, growth)
		}
		size += factor * max(0, peer.admittedRate) * min(now-max(since, peer.At), extrapolationLimit).Seconds()
	}
	return size
}
