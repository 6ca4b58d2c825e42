// Package diagnoser decides whether an engine whose streams are silent is busy or has failed. It
// answers the parts of long prompts that an engine prefills ahead of all else, between two events of
// the answers there: leaving a sound engine for that has the prompt prefilled once more elsewhere.
package diagnoser

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// workFactor times the time of the known work is allowed, since predictions are off.
	workFactor = 1.25
	// patienceShare is the share of the time for which a caller waits for an event within which the
	// work must end: a stream that moves later goes on when its caller has left.
	patienceShare = 0.7
)

// Silence is what is known when no event of a stream has come in time.
type Silence struct {
	Since    time.Time     // the latest event
	Patience time.Duration // for which the caller waits for an event
}

// StayFor returns how much longer the stream waits at its engine, given the other flights that are
// known there. It is 0 if the stream should move now: the work that is known would have ended, or
// ends too late for the caller. An engine that has failed in the middle of its work is left when
// that should have ended.
func (si Silence) StayFor(now time.Time, flights []ml.Flight) time.Duration {
	work := time.Duration(0)
	for i := range flights {
		fl := &flights[i]
		if fl.FirstEventAt.IsZero() || fl.FirstEventAt.After(si.Since) {
			work += fl.PrefillTime
		}
	}
	expected := time.Duration(workFactor * float64(work))
	if expected > time.Duration(patienceShare*float64(si.Patience)) {
		return 0
	}
	return max(si.Since.Add(expected).Sub(now), 0)
}
