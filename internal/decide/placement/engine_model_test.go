package placement_test

import (
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// A modelled engine, as docs/design/cost-aware-selection.md describes it.
const (
	engineSlots = 24
	// stepMs is the time of a step without calls, and perRunningMs what each running call adds to it.
	stepMs       = 5.6
	perRunningMs = 0.04
	// chunkTokens is the most that a step reads of prompts, and readPerMs the number of tokens that it reads in a millisecond.
	chunkTokens = 2048
	readPerMs   = 40
	// msPerMegapair is the time for a million pairs of a prompt's tokens.
	msPerMegapair = 0.8
	// slowedFactor and slowedTime are what a neighbour does to a server.
	slowedFactor = 2.5
	slowedTime   = 600 * time.Millisecond
)

// modelCall is a call of the model. Times are from the start of the model on.
type modelCall struct {
	entry, server, kind int
	// events of tokensPerEvent tokens each are to be written, after unread of prompt tokens are read.
	events, tokensPerEvent, written int
	prompt                          call.Prompt
	unread, read                    int
	sentAt, headAt, eventAt         time.Duration
	longestPause                    time.Duration
	hint                            int
	follow                          follower
}

// engine is a model engine that reads prompts in chunks between the decode steps of its calls.
type engine struct {
	speed            float64
	running, waiting []*modelCall
	slowedUntil      time.Duration
	// cached are the parts of prompts that the engine has read.
	cached map[string]bool
	idle   bool
}

// step runs one step from a time on, and returns its end, the calls that wrote an event in it and those that ended.
func (engine *engine) step(now time.Duration) (end time.Duration, wrote, ended []*modelCall) {
	for len(engine.waiting) > 0 && len(engine.running) < engineSlots {
		engine.running, engine.waiting = append(engine.running, engine.waiting[0]), engine.waiting[1:]
	}
	ms, budget := stepMs+perRunningMs*float64(len(engine.running)), chunkTokens
	decoding := make([]*modelCall, 0, engineSlots)
	for _, call := range engine.running {
		if call.read == call.unread {
			decoding = append(decoding, call)
			continue
		}
		chunk := min(budget, call.unread-call.read)
		ms += float64(chunk)/readPerMs + msPerMegapair*float64(chunk)*(float64(call.read)+float64(chunk)/2)/1e6
		call.read += chunk
		budget -= chunk
	}
	ms /= engine.speed
	if now < engine.slowedUntil {
		ms *= slowedFactor
	}
	end = now + time.Duration(ms*float64(time.Millisecond))
	kept := engine.running[:0]
	for _, call := range engine.running {
		late := end > call.sentAt+modelDeadline
		if !late {
			kept = append(kept, call)
			continue
		}
		ended = append(ended, call)
	}
	engine.running = kept
	for _, call := range decoding {
		call.written++
		if call.written%call.tokensPerEvent != 0 || end > call.sentAt+modelDeadline {
			continue
		}
		wrote = append(wrote, call)
		if call.written == call.events*call.tokensPerEvent {
			engine.remove(call)
			ended = append(ended, call)
		}
	}
	return end, wrote, ended
}

// remove removes a running call.
func (engine *engine) remove(call *modelCall) {
	for i, running := range engine.running {
		if running == call {
			engine.running = append(engine.running[:i], engine.running[i+1:]...)
			return
		}
	}
}

// accept takes a call, of whose prompt it reads what it has not cached.
func (engine *engine) accept(call *modelCall) {
	call.unread = call.prompt.Input
	shared := call.prompt.Parts[0]
	if engine.cached[shared.ID] {
		call.unread -= shared.Tokens
	}
	engine.cached[shared.ID] = true
	engine.waiting = append(engine.waiting, call)
}

// load returns what the engine reports.
func (engine *engine) load() call.ServerLoad {
	return call.ServerLoad{Running: len(engine.running), Waiting: len(engine.waiting), Slots: engineSlots}
}

// logNormal returns a value around a median, for a normal deviate and the factor between the 95th of 100 values and the median.
func logNormal(median, deviate, spread float64) float64 {
	return median * math.Exp(deviate*math.Log(spread)/1.645)
}
