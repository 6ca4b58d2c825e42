package tracker

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// encodeFlight returns a flight as it is sent to peers. Times are relative to now,
// since clocks differ.
func encodeFlight(now time.Time, fl *ml.Flight) ml.SharedFlight {
	sf := ml.SharedFlight{
		ID: fl.ID, Endpoint: fl.Endpoint, SentMs: now.Sub(fl.Sent).Milliseconds(), ReadingUs: fl.Reading.Microseconds(),
		WritingMs: fl.Writing.Milliseconds(), Memory: fl.Memory, FirstMs: fl.FirstBy.Sub(now).Milliseconds(),
		GiveUpMs: fl.GiveUp.Sub(now).Milliseconds(), GapMs: fl.Gap.Milliseconds(), Worth: fl.Worth, Part: fl.Part, Helper: fl.Helper,
	}
	if !fl.Began.IsZero() {
		// At least 1, since 0 means that no event has arrived.
		sf.BeganMs = max(now.Sub(fl.Began).Milliseconds(), 1)
	}
	return sf
}

// decodeFlight returns a flight that a peer has sent, with its times relative to now.
func decodeFlight(now time.Time, sf ml.SharedFlight) *ml.Flight {
	fl := &ml.Flight{
		ID: sf.ID, Endpoint: sf.Endpoint, Sent: now.Add(-time.Duration(sf.SentMs) * time.Millisecond),
		Reading: time.Duration(sf.ReadingUs) * time.Microsecond, Writing: time.Duration(sf.WritingMs) * time.Millisecond,
		Memory: sf.Memory, FirstBy: now.Add(time.Duration(sf.FirstMs) * time.Millisecond),
		GiveUp: now.Add(time.Duration(sf.GiveUpMs) * time.Millisecond), Gap: time.Duration(sf.GapMs) * time.Millisecond, Worth: sf.Worth, Part: sf.Part, Helper: sf.Helper,
	}
	if sf.BeganMs > 0 {
		fl.Began = now.Add(-time.Duration(sf.BeganMs) * time.Millisecond)
	}
	return fl
}

// encodeWaiting returns a waiting request as it is sent to peers.
func encodeWaiting(now time.Time, wa ml.Waiting) ml.SharedWaiting {
	return ml.SharedWaiting{
		ID: wa.ID, Service: wa.Service, Prompt: wa.Prompt, Answer: wa.Answer, FirstMs: wa.FirstBy.Sub(now).Milliseconds(),
		GiveUpMs: wa.GiveUp.Sub(now).Milliseconds(), GapMs: wa.Gap.Milliseconds(), Worth: wa.Worth, Order: wa.Order,
	}
}

// decodeWaiting returns a waiting request that a peer has sent.
func decodeWaiting(now time.Time, sw ml.SharedWaiting) ml.Waiting {
	return ml.Waiting{
		ID: sw.ID, Service: sw.Service, Prompt: sw.Prompt, Answer: sw.Answer, FirstBy: now.Add(time.Duration(sw.FirstMs) * time.Millisecond),
		GiveUp: now.Add(time.Duration(sw.GiveUpMs) * time.Millisecond), Gap: time.Duration(sw.GapMs) * time.Millisecond, Worth: sw.Worth, Order: sw.Order,
	}
}
