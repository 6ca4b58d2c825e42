package sharer

import (
	"context"
	"math/rand/v2"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// Informant returns the address of the entry VM to ask what is newest in the store: the one
// that has read it for want of another, else the one that reads it for this failure domain. The
// second result is false if there is none.
func (sh *Sharer) Informant(now time.Time) (string, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	me := sh.members[sh.informant]
	if me == nil || me.leaving || !me.isHeard(now) {
		me = sh.findRelay(now, sh.Domain)
	}
	if me == nil {
		me = sh.randomMember(now, "")
	}
	if me == nil {
		return "", false
	}
	return me.address, true
}

// InformantFailed makes Informant return another entry VM, since the last one knows nothing
// new: the reader of this failure domain or, if it was that, any one of the domain or of all.
func (sh *Sharer) InformantFailed(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.informant != "" {
		sh.informant = ""
		return
	}
	domain := sh.Domain
	if rand.N(2) == 0 {
		domain = ""
	}
	if me := sh.randomMember(now, domain); me != nil {
		sh.informant = me.address
	}
}

// randomMember returns a member that is heard, of a failure domain or, if that is empty, of
// all. It returns nil if there is none. The caller must hold sh.mu.
func (sh *Sharer) randomMember(now time.Time, domain ml.DomainID) *member {
	var chosen *member
	n := 0
	for _, me := range sh.members {
		if me.leaving || !me.isHeard(now) || domain != "" && me.domain != domain {
			continue
		}
		n++
		if rand.N(n) == 0 {
			chosen = me
		}
	}
	return chosen
}

// AnnounceRead tells the failure domain that this entry VM has read the store for want of
// another, so that the others can ask it.
func (sh *Sharer) AnnounceRead() {
	if !sh.IsLarge() {
		return // all read the store
	}
	om := sh.encode(sh.withSender(ml.ShareMessage{HasRead: true}))
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, me := range sh.members {
		if me.domain == sh.Domain {
			sh.enqueue(me, om)
		}
	}
}

// setInformant records that the entry VM at an address has read the store.
func (sh *Sharer) setInformant(address string) {
	sh.mu.Lock()
	sh.informant = address
	sh.mu.Unlock()
	if sh.OnReader != nil {
		sh.OnReader()
	}
}

// FetchFrom fetches from the entry VM at an address the records that it knows and this one
// doesn't.
func (sh *Sharer) FetchFrom(ctx context.Context, address string) { sh.fetchRecords(ctx, address) }
