package placement

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/decay"
)

const (
	// priorAnswers and priorMalformed are the answers with which the estimate of a server's malformed part starts. They
	// are so few that the first answer decides on a server about which nothing else is known: few servers garble, but
	// most of these garble much.
	priorAnswers   = 4.0
	priorMalformed = 0.1
	// toleratedMalformed is the malformed part up to which a server gets its share of calls. On the users' platform a third of the
	// servers at times garble one answer in fifty, which are too many to do without. Right after
	// one of these the estimate is much higher: after five sound answers, one malformed one makes it 0.11.
	toleratedMalformed = 0.12
	// malformedCost is the cost of a malformed answer, in prompt tokens: a run that is lost, the resume elsewhere, and for a
	// call that may run only once its answer. The estimated part is at most 0.51, so a server that always
	// garbles costs as much as a sound one with about four times as many calls as slots (fullCost), and the sound servers are not overloaded
	// where only few are left.
	malformedCost = 60000
	// minGarblingHalfLife and maxGarblingHalfLife bound the time after which the weight of answers has halved. An entry among 90 meets the
	// same server about once in 50 s, so that a shorter memory would end before the next answer; with the longest one, a server that is
	// sound again is avoided for at most 13 minutes.
	minGarblingHalfLife = 60 * time.Second
	maxGarblingHalfLife = 240 * time.Second
	// malformedGrowth and soundShrinkage are the factors by which a malformed and a sound answer change the half-life. It
	// grows in the long run for a server that garbles more than 13% of its answers.
	malformedGrowth = 2
	soundShrinkage  = 0.9
	// maxMalformed and maxSound bound the weights of the answers, so that a change is noticed soon. They keep a server from being
	// avoided for more than 3.3 half-lives after its last malformed answer.
	maxMalformed = 4
	maxSound     = 16
)

// garbling estimates the part of a server's answers that are malformed. It is immutable.
type garbling struct {
	// malformed and sound are the numbers of answers, decayed up to at with halfLife.
	malformed, sound float64
	at               time.Duration
	halfLife         time.Duration
}

// withMalformed returns the estimate after a malformed answer.
func (garbling garbling) withMalformed(now time.Duration) garbling {
	garbling = garbling.decayed(now)
	garbling.malformed = min(maxMalformed, garbling.malformed+1)
	garbling.halfLife = min(maxGarblingHalfLife, malformedGrowth*garbling.halfLife)
	return garbling
}

// withSound returns the estimate after a sound answer.
func (garbling garbling) withSound(now time.Duration) garbling {
	garbling = garbling.decayed(now)
	garbling.sound = min(maxSound, garbling.sound+1)
	garbling.halfLife = max(minGarblingHalfLife, time.Duration(soundShrinkage*float64(garbling.halfLife)))
	return garbling
}

// decayed returns the estimate with the weights of the answers at a time.
func (garbling garbling) decayed(now time.Duration) garbling {
	garbling.halfLife = max(minGarblingHalfLife, garbling.halfLife)
	remaining := decay.ByHalfLife(now-garbling.at, garbling.halfLife)
	garbling.malformed *= remaining
	garbling.sound *= remaining
	garbling.at = max(garbling.at, now)
	return garbling
}

// part returns the estimated part of the server's answers that are malformed.
func (garbling garbling) part(now time.Duration) float64 {
	if garbling.malformed == 0 {
		return 0
	}
	current := garbling.decayed(now)
	return (priorMalformed + current.malformed) / (priorAnswers + current.malformed + current.sound)
}

// cost returns what the garbling adds to the cost of a call, in prompt tokens, and 0 for a tolerated part.
//
// A factor would let a server that garbles little lose nearly all calls: where servers are equally busy, the lowest cost decides.
func (garbling garbling) cost(now time.Duration) float64 {
	part := garbling.part(now)
	if part <= toleratedMalformed {
		return 0
	}
	return malformedCost * part
}
