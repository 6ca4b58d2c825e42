package cataloger

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// RecordRead records that the store has answered a read of a topic, and that all is applied
// that it had acknowledged by confirmedAt.
func (ca *Cataloger) RecordRead(now, confirmedAt time.Time, to ml.TopicName) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ca.readAt == nil {
		ca.readAt, ca.confirmedAt = make(map[ml.TopicName]time.Time), make(map[ml.TopicName]time.Time)
	}
	ca.readAt[to] = now
	if confirmedAt.After(ca.confirmedAt[to]) {
		ca.confirmedAt[to] = confirmedAt
	}
}

// RecordConfirmation records that all that the store had acknowledged in a topic by a time is
// applied, as another entry VM has confirmed.
func (ca *Cataloger) RecordConfirmation(at time.Time, to ml.TopicName) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ca.confirmedAt == nil {
		ca.readAt, ca.confirmedAt = make(map[ml.TopicName]time.Time), make(map[ml.TopicName]time.Time)
	}
	if at.After(ca.confirmedAt[to]) {
		ca.confirmedAt[to] = at
	}
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
		out[to] = ml.Confirmation{Digest: ca.digests[to], AgeMs: ml.Age(now, at).Milliseconds() + 1}
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
