package tracker

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

func encode(now time.Time, fl *ml.Flight) ml.SharedFlight {
	sf := ml.SharedFlight{
		ID: fl.ID, Endpoint: fl.Endpoint, SentAgeMs: now.Sub(fl.SentAt).Milliseconds(), PrefillUs: fl.PrefillTime.Microseconds(),
		DecodeMs: fl.DecodeTime.Milliseconds(), Memory: fl.Memory, FirstEventTargetMs: fl.FirstEventTarget.Sub(now).Milliseconds(),
		FirstEventDeadlineMs: fl.FirstEventDeadline.Sub(now).Milliseconds(), GapTargetMs: fl.GapTarget.Milliseconds(), Value: fl.Value, Partial: fl.Partial, Helper: fl.Helper,
	}
	if !fl.FirstEventAt.IsZero() {
		sf.FirstEventAgeMs = max(now.Sub(fl.FirstEventAt).Milliseconds(), 1)
	}
	return sf
}

func decode(now time.Time, sf ml.SharedFlight) *ml.Flight {
	fl := &ml.Flight{
		ID: sf.ID, Endpoint: sf.Endpoint, SentAt: now.Add(-time.Duration(sf.SentAgeMs) * time.Millisecond),
		PrefillTime: time.Duration(sf.PrefillUs) * time.Microsecond, DecodeTime: time.Duration(sf.DecodeMs) * time.Millisecond,
		Memory: sf.Memory, FirstEventTarget: now.Add(time.Duration(sf.FirstEventTargetMs) * time.Millisecond),
		FirstEventDeadline: now.Add(time.Duration(sf.FirstEventDeadlineMs) * time.Millisecond), GapTarget: time.Duration(sf.GapTargetMs) * time.Millisecond, Value: sf.Value, Partial: sf.Partial, Helper: sf.Helper,
	}
	if sf.FirstEventAgeMs > 0 {
		fl.FirstEventAt = now.Add(-time.Duration(sf.FirstEventAgeMs) * time.Millisecond)
	}
	return fl
}

func encodeWaiting(now time.Time, wa ml.QueuedRequest) ml.SharedQueuedRequest {
	return ml.SharedQueuedRequest{
		ID: wa.ID, Service: wa.Service, Prompt: wa.Prompt, Answer: wa.Answer, FirstEventTargetMs: wa.FirstEventTarget.Sub(now).Milliseconds(),
		FirstEventDeadlineMs: wa.FirstEventDeadline.Sub(now).Milliseconds(), GapTargetMs: wa.GapTarget.Milliseconds(), Value: wa.Value, Rank: wa.Rank,
	}
}

func decodeWaiting(now time.Time, sw ml.SharedQueuedRequest) ml.QueuedRequest {
	return ml.QueuedRequest{
		ID: sw.ID, Service: sw.Service, Prompt: sw.Prompt, Answer: sw.Answer, FirstEventTarget: now.Add(time.Duration(sw.FirstEventTargetMs) * time.Millisecond),
		FirstEventDeadline: now.Add(time.Duration(sw.FirstEventDeadlineMs) * time.Millisecond), GapTarget: time.Duration(sw.GapTargetMs) * time.Millisecond, Value: sw.Value, Rank: sw.Rank,
	}
}
