package cataloger

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/attester"
)

// confirm records what a read or a listing proves, which has been applied. The caller must hold
// ca.mu.
func (ca *Cataloger) confirm(pr attester.Proof) {
	if pr.Topic() == "" {
		return
	}
	raiseTime(&ca.readAt, pr.Topic(), pr.At())
	raiseTime(&ca.confirmedAt, pr.Topic(), pr.At())
}

// raiseTime raises a topic's time to one that is later.
func raiseTime(times *map[ml.TopicName]time.Time, to ml.TopicName, at time.Time) {
	if *times == nil {
		*times = make(map[ml.TopicName]time.Time)
	}
	if at.After((*times)[to]) {
		(*times)[to] = at
	}
}

// Confirm records what another entry VM, which was asked at a time, has confirmed of a topic, and
// reports whether that holds here too: only if this entry VM has listed the topic and knows the
// same, and the other one knows no earlier era of the store. The topic is then read from where the
// other one has read it, unless the digest leaves out a part of its records.
func (ca *Cataloger) Confirm(askedAt time.Time, to ml.TopicName, co ml.Confirmation) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	listed, known := ca.listedFrom[to]
	if !known || co.Digest != ca.digests[to] {
		return false
	}
	if co.Next != nil {
		if co.Next.Era < ca.era {
			return false
		}
		ca.observeEra(askedAt, co.Next.Era, fromPeer)
		if co.Next.Era == listed.Era && !ca.hasEndpoints[to] {
			raise(&ca.read, map[ml.TopicName]ml.Position{to: *co.Next})
		}
	}
	raiseTime(&ca.confirmedAt, to, askedAt.Add(-time.Duration(co.AgeMs)*time.Millisecond))
	return true
}

// ConfirmedAt returns a time up to which all that the store had acknowledged in a topic is
// applied. It is zero before the first confirmation.
func (ca *Cataloger) ConfirmedAt(to ml.TopicName) time.Time {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.confirmedAt[to]
}

// Confirmations returns what is confirmed of each topic.
func (ca *Cataloger) Confirmations(now time.Time) map[ml.TopicName]ml.Confirmation {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := make(map[ml.TopicName]ml.Confirmation)
	for to, at := range ca.confirmedAt {
		next := ca.read[to]
		out[to] = ml.Confirmation{Digest: ca.digests[to], AgeMs: ml.Age(now, at).Milliseconds() + 1, Next: &next}
	}
	return out
}

// ConfigConfirmedAt returns a time up to which all configurations that the store had
// acknowledged in a topic are in force. It is zero before the first read, while the newest one
// can't be decoded, and after the store has come back from an older copy until the operators
// have had the time to write theirs again.
func (ca *Cataloger) ConfigConfirmedAt(now time.Time, to ml.TopicName) time.Time {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ca.configUnread || ca.mayLackConfig(now) {
		return time.Time{}
	}
	return ca.confirmedAt[to]
}

// RecordStoreFailure records that the store failed to answer at now.
func (ca *Cataloger) RecordStoreFailure(now time.Time) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.storeFailedAt = now
}
