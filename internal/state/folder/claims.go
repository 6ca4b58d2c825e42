package folder

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// claims tracks which attempt holds each key. The first claim of a key in the
// log wins. Later ones have no effect until it expires.
type claims struct {
	byKey            map[string]*Claim
	releasedAttempts map[ml.GrantID]time.Time
	expirations      []expiration // in the order of the log
}

// expiration is the time at which a claim or a released attempt is dropped.
type expiration struct {
	at      time.Time
	key     string // empty for a released attempt
	attempt ml.GrantID
}

func (cs *claims) claim(re ml.Record, cl Claim) {
	if cs.byKey == nil {
		cs.byKey = make(map[string]*Claim)
		cs.releasedAttempts = make(map[ml.GrantID]time.Time)
	}
	cs.expire(re.Time)
	_, released := cs.releasedAttempts[cl.Attempt]
	if released {
		return
	}
	if old := cs.byKey[cl.Key]; old != nil && re.Time.Before(old.expiresAt()) {
		return
	}
	cl.At, cl.ResultOffset, cl.Outcome = re.Time, 0, ClaimOpen
	cs.byKey[cl.Key] = &cl
	cs.expirations = append(cs.expirations, expiration{at: cl.expiresAt(), key: cl.Key, attempt: cl.Attempt})
}

func (cs *claims) release(re ml.Record, rl Release) {
	if cs.byKey == nil {
		cs.byKey = make(map[string]*Claim)
		cs.releasedAttempts = make(map[ml.GrantID]time.Time)
	}
	if old := cs.byKey[rl.Key]; old != nil && old.Attempt == rl.Attempt && old.Outcome == ClaimOpen {
		delete(cs.byKey, rl.Key)
	}
	// A claim that reaches the log after the release of its attempt has no
	// effect.
	const releaseRetention = time.Hour
	cs.releasedAttempts[rl.Attempt] = re.Time
	cs.expirations = append(cs.expirations, expiration{at: re.Time.Add(releaseRetention), attempt: rl.Attempt})
}

func (cs *claims) finish(re ml.Record, rs Result) {
	old := cs.byKey[rs.Key]
	if old == nil || old.Attempt != rs.Attempt || old.Outcome == ClaimFinished {
		return
	}
	next := *old
	next.Outcome, next.ResultOffset = rs.Outcome, re.Offset
	cs.byKey[rs.Key] = &next
}

// expire drops claims and released attempts that have expired by the log's
// time.
func (cs *claims) expire(now time.Time) {
	for len(cs.expirations) > 0 && cs.expirations[0].at.Before(now) {
		ex := cs.expirations[0]
		cs.expirations = cs.expirations[1:]
		if cl := cs.byKey[ex.key]; cl != nil && cl.Attempt == ex.attempt {
			delete(cs.byKey, ex.key)
		}
		if ex.key == "" {
			delete(cs.releasedAttempts, ex.attempt)
		}
	}
}

// expiresAt returns when the key may be claimed again, by the log's time.
func (cl Claim) expiresAt() time.Time { return cl.At.Add(time.Duration(cl.TTLMs) * time.Millisecond) }
