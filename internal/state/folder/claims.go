package folder

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// claims holds who may run which call. The first claim of a key in the log
// wins; later ones have no effect while it lives.
type claims struct {
	byKey    map[string]*Claim
	released map[ml.GrantID]time.Time // attempts that gave their claim back
	expiry   []expiring               // in the order of the log
}

// expiring is a claim or released attempt that is dropped at a time.
type expiring struct {
	at      time.Time
	key     string
	attempt ml.GrantID
}

func (cs *claims) claim(re ml.Record, cl Claim) {
	if cs.byKey == nil {
		cs.byKey = make(map[string]*Claim)
		cs.released = make(map[ml.GrantID]time.Time)
	}
	cs.expire(re.Time)
	_, gone := cs.released[cl.Attempt]
	if gone {
		return
	}
	if old := cs.byKey[cl.Key]; old != nil && re.Time.Before(old.ends()) {
		return
	}
	cl.At, cl.ResultOffset, cl.Outcome = re.Time, 0, ClaimOpen
	cs.byKey[cl.Key] = &cl
	cs.expiry = append(cs.expiry, expiring{at: cl.ends(), key: cl.Key, attempt: cl.Attempt})
}

func (cs *claims) release(re ml.Record, rl Release) {
	if cs.byKey == nil {
		cs.byKey = make(map[string]*Claim)
		cs.released = make(map[ml.GrantID]time.Time)
	}
	if old := cs.byKey[rl.Key]; old != nil && old.Attempt == rl.Attempt && old.Outcome == ClaimOpen {
		delete(cs.byKey, rl.Key)
	}
	// A claim of the same attempt that arrives after its release has no effect.
	const releasedKept = time.Hour
	cs.released[rl.Attempt] = re.Time
	cs.expiry = append(cs.expiry, expiring{at: re.Time.Add(releasedKept), attempt: rl.Attempt})
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

// expire drops what has ended by the log's own time.
func (cs *claims) expire(now time.Time) {
	for len(cs.expiry) > 0 && cs.expiry[0].at.Before(now) {
		ex := cs.expiry[0]
		cs.expiry = cs.expiry[1:]
		if cl := cs.byKey[ex.key]; cl != nil && cl.Attempt == ex.attempt {
			delete(cs.byKey, ex.key)
		}
		if ex.key == "" {
			delete(cs.released, ex.attempt)
		}
	}
}

// ends returns when the key may be claimed anew.
func (cl Claim) ends() time.Time { return cl.At.Add(time.Duration(cl.TTLMs) * time.Millisecond) }
