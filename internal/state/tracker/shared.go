package tracker

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// encodeFlight returns a flight as it is sent to peers. Times are relative to now,
// since clocks differ.
func encodeFlight(now time.Time, fl *ml.Flight) ml.SharedFlight {
	sf := ml.SharedFlight{
		ID: fl.ID, Endpoint: fl.Endpoint, SentAgeMs: now.Sub(fl.SentAt).Milliseconds(), PrefillUs: fl.PrefillTime.Microseconds(),
		DecodeMs: fl.DecodeTime.Milliseconds(), Memory: fl.Memory, FirstEventTargetMs: fl.FirstEventTarget.Sub(now).Milliseconds(),
		FirstEventDeadlineMs: fl.FirstEventDeadline.Sub(now).Milliseconds(), GapTargetMs: fl.GapTarget.Milliseconds(), Value: fl.Value, Weight: fl.Weight, Team: fl.Team, Partial: fl.Partial, Helper: fl.Helper, Reserved: fl.Reserved,
	}
	if !fl.FirstEventAt.IsZero() {
		// At least 1, since 0 means that no event has arrived.
		sf.FirstEventAgeMs = max(now.Sub(fl.FirstEventAt).Milliseconds(), 1)
	}
	return sf
}

// decodeFlight returns a flight that a peer has sent, with its times relative to now.
func decodeFlight(now time.Time, sf ml.SharedFlight) *ml.Flight {
	fl := &ml.Flight{
		ID: sf.ID, Endpoint: sf.Endpoint, SentAt: now.Add(-time.Duration(sf.SentAgeMs) * time.Millisecond),
		PrefillTime: time.Duration(sf.PrefillUs) * time.Microsecond, DecodeTime: time.Duration(sf.DecodeMs) * time.Millisecond,
		Memory: sf.Memory, FirstEventTarget: now.Add(time.Duration(sf.FirstEventTargetMs) * time.Millisecond),
		FirstEventDeadline: now.Add(time.Duration(sf.FirstEventDeadlineMs) * time.Millisecond), GapTarget: time.Duration(sf.GapTargetMs) * time.Millisecond, Value: sf.Value, Weight: sf.Weight, Team: sf.Team, Partial: sf.Partial, Helper: sf.Helper, Reserved: sf.Reserved,
	}
	if sf.FirstEventAgeMs > 0 {
		fl.FirstEventAt = now.Add(-time.Duration(sf.FirstEventAgeMs) * time.Millisecond)
	}
	return fl
}

// encodeWaiting returns a waiting request as it is sent to peers.
func encodeWaiting(now time.Time, qr ml.QueuedRequest) ml.SharedQueuedRequest {
	return ml.SharedQueuedRequest{
		ID: qr.ID, Service: qr.Service, Prompt: qr.Prompt, Answer: qr.Answer, FirstEventTargetMs: qr.FirstEventTarget.Sub(now).Milliseconds(),
		FirstEventDeadlineMs: qr.FirstEventDeadline.Sub(now).Milliseconds(), GapTargetMs: qr.GapTarget.Milliseconds(), Value: qr.Value, SortKey: qr.SortKey, Priority: qr.Priority, Weight: qr.Weight, Team: qr.Team,
	}
}

// decodeWaiting returns a waiting request that a peer has sent.
func decodeWaiting(now time.Time, sq ml.SharedQueuedRequest) ml.QueuedRequest {
	return ml.QueuedRequest{
		ID: sq.ID, Service: sq.Service, Prompt: sq.Prompt, Answer: sq.Answer, FirstEventTarget: now.Add(time.Duration(sq.FirstEventTargetMs) * time.Millisecond),
		FirstEventDeadline: now.Add(time.Duration(sq.FirstEventDeadlineMs) * time.Millisecond), GapTarget: time.Duration(sq.GapTargetMs) * time.Millisecond, Value: sq.Value, SortKey: sq.SortKey, Priority: sq.Priority, Weight: sq.Weight, Team: sq.Team,
	}
}

// EncodePlacementRequest returns a request to a scheduler as it is sent.
func EncodePlacementRequest(now time.Time, pr *ml.PlacementRequest) ml.SharedPlacementRequest {
	return ml.SharedPlacementRequest{
		SharedQueuedRequest: encodeWaiting(now, pr.QueuedRequest), From: pr.From, Domain: pr.Domain, Excluded: pr.Excluded, Allowed: pr.Allowed,
		MaxIdleWaitMs: pr.MaxIdleWait.Milliseconds(), IsProbe: pr.IsProbe, IsImmediate: pr.IsImmediate, Replaces: pr.Replaces,
		SilenceMs: pr.Silence.Milliseconds(), PatienceMs: pr.Patience.Milliseconds(),
	}
}

// DecodePlacementRequest returns a request to a scheduler, with its times relative to now.
func DecodePlacementRequest(now time.Time, sp *ml.SharedPlacementRequest) ml.PlacementRequest {
	return ml.PlacementRequest{
		QueuedRequest: decodeWaiting(now, sp.SharedQueuedRequest), From: sp.From, Domain: sp.Domain, Excluded: sp.Excluded, Allowed: sp.Allowed,
		MaxIdleWait: time.Duration(sp.MaxIdleWaitMs) * time.Millisecond, IsProbe: sp.IsProbe, IsImmediate: sp.IsImmediate, Replaces: sp.Replaces,
		Silence: time.Duration(sp.SilenceMs) * time.Millisecond, Patience: time.Duration(sp.PatienceMs) * time.Millisecond,
	}
}
