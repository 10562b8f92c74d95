package backend

// Reason says why a server was chosen or passed over.
type Reason string

// The reasons of a choice.
const (
	ReasonLeastLoaded Reason = "LeastLoaded"
	ReasonMoreLoaded  Reason = "MoreLoaded"
	ReasonTried       Reason = "Tried"
	ReasonNoCandidate Reason = "NoCandidate"
)

// Choice is the server chosen for a request, with the reason.
type Choice struct {
	Server Server
	Reason Reason
}

// Random is a source of random numbers in [0, n).
type Random interface {
	IntN(n int) int
}

// sampleSize is how many candidates a choice compares; more than a few brings
// little over two random choices and costs time on the request path.
const sampleSize = 3

// Choose picks the least loaded of a few random candidates that were not tried before.
//
// It returns false when no candidate is left.
func Choose(candidates []Server, tried []string, random Random) (Choice, bool) {
	best, found := Server{}, false
	for range sampleSize * (len(tried) + 1) {
		if len(candidates) == 0 {
			break
		}
		candidate := candidates[random.IntN(len(candidates))]
		if wasTried(candidate.Name, tried) {
			continue
		}
		if !found || candidate.Observation.Load().InFlight < best.Observation.Load().InFlight {
			best, found = candidate, true
		}
	}
	if !found {
		return Choice{Reason: ReasonNoCandidate}, false
	}
	return Choice{Server: best, Reason: ReasonLeastLoaded}, true
}

func wasTried(name string, tried []string) bool {
	for _, other := range tried {
		if name == other {
			return true
		}
	}
	return false
}
