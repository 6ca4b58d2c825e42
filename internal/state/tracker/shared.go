package tracker

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

func encode(now time.Time, fl *ml.Flight) ml.SharedFlight {
	sf := ml.SharedFlight{
		ID: fl.ID, Endpoint: fl.Endpoint, SentMs: now.Sub(fl.SentAt).Milliseconds(), ReadingUs: fl.PrefillTime.Microseconds(),
		WritingMs: fl.DecodeTime.Milliseconds(), Memory: fl.Memory, FirstMs: fl.FirstEventTarget.Sub(now).Milliseconds(),
		GiveUpMs: fl.FirstEventDeadline.Sub(now).Milliseconds(), GapMs: fl.GapTarget.Milliseconds(), Worth: fl.Value, Part: fl.Partial, Helper: fl.Helper,
	}
	if !fl.FirstEventAt.IsZero() {
		sf.BeganMs = max(now.Sub(fl.FirstEventAt).Milliseconds(), 1)
	}
	return sf
}

func decode(now time.Time, sf ml.SharedFlight) *ml.Flight {
	fl := &ml.Flight{
		ID: sf.ID, Endpoint: sf.Endpoint, SentAt: now.Add(-time.Duration(sf.SentMs) * time.Millisecond),
		PrefillTime: time.Duration(sf.ReadingUs) * time.Microsecond, DecodeTime: time.Duration(sf.WritingMs) * time.Millisecond,
		Memory: sf.Memory, FirstEventTarget: now.Add(time.Duration(sf.FirstMs) * time.Millisecond),
		FirstEventDeadline: now.Add(time.Duration(sf.GiveUpMs) * time.Millisecond), GapTarget: time.Duration(sf.GapMs) * time.Millisecond, Value: sf.Worth, Partial: sf.Part, Helper: sf.Helper,
	}
	if sf.BeganMs > 0 {
		fl.FirstEventAt = now.Add(-time.Duration(sf.BeganMs) * time.Millisecond)
	}
	return fl
}

func encodeWaiting(now time.Time, wa ml.Waiting) ml.SharedWaiting {
	return ml.SharedWaiting{
		ID: wa.ID, Service: wa.Service, Prompt: wa.Prompt, Answer: wa.Answer, FirstMs: wa.FirstEventTarget.Sub(now).Milliseconds(),
		GiveUpMs: wa.FirstEventDeadline.Sub(now).Milliseconds(), GapMs: wa.GapTarget.Milliseconds(), Worth: wa.Value, Order: wa.Order,
	}
}

func decodeWaiting(now time.Time, sw ml.SharedWaiting) ml.Waiting {
	return ml.Waiting{
		ID: sw.ID, Service: sw.Service, Prompt: sw.Prompt, Answer: sw.Answer, FirstEventTarget: now.Add(time.Duration(sw.FirstMs) * time.Millisecond),
		FirstEventDeadline: now.Add(time.Duration(sw.GiveUpMs) * time.Millisecond), GapTarget: time.Duration(sw.GapMs) * time.Millisecond, Value: sw.Worth, Order: sw.Order,
	}
}
