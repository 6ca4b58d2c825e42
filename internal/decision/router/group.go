package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ml "github.com/mulberrylever/mulberrylever"
)

// longSetInterval is the time between two computations of the sets.
const longSetInterval = time.Second

// group holds the endpoints that serve one model or service.
type group struct {
	all    []*Candidate
	own    []*Candidate // those that this VM owns
	turn   int          // place of the endpoint that was chosen last in turn
	long   int          // how many at the end of all take long prompts
	counts [2]float64
	sized  time.Time
}

// insert keeps the endpoints in the order of the hashes of their ids, so that
// all entry VMs agree on the sets and each set is spread over the domains.
func (gp *group) insert(ca *Candidate, id ml.EndpointID) {
	ca.order = xxhash.Sum64String(string(id))
	at, _ := slices.BinarySearchFunc(gp.all, ca.order, func(other *Candidate, order uint64) int {
		return cmp.Compare(other.order, order)
	})
	gp.all = slices.Insert(gp.all, at, ca)
	ca.grouped = true
}

// remove takes an endpoint out of the choice.
func (gp *group) remove(ca *Candidate) {
	gp.all = slices.DeleteFunc(gp.all, func(other *Candidate) bool { return other == ca })
	gp.setOwn(ca, false)
	ca.grouped = false
}

// setOwn records whether this VM owns an endpoint.
func (gp *group) setOwn(ca *Candidate, owned bool) {
	at := slices.Index(gp.own, ca)
	switch {
	case owned && at < 0:
		gp.own = append(gp.own, ca)
	case !owned && at >= 0:
		gp.own = slices.Delete(gp.own, at, at+1)
	}
}

// home returns the endpoint where prompts with a prefix gather, so that they
// find it in the cache. All entry VMs agree on it without a message.
func (gp *group) home(re Request) *Candidate {
	set := gp.set(re.Length)
	at, _ := slices.BinarySearchFunc(set, re.PrefixHash, func(ca *Candidate, prefix uint64) int {
		return cmp.Compare(ca.order, prefix)
	})
	return set[at%len(set)]
}

// longFrom returns the place of the first endpoint for long prompts, or zero
// when there is no such set.
func (gp *group) longFrom() uint64 {
	if gp.long == 0 || gp.long >= len(gp.all) {
		return 0
	}
	return gp.all[len(gp.all)-gp.long].order
}

// set returns the endpoints for a length: long prompts gather at the end and
// medium ones before them. Short ones may go to all, since engines process
// them first.
func (gp *group) set(le ml.Length) []*Candidate {
	from := len(gp.all) - gp.long
	switch {
	case gp.long == 0 || from <= 0 || le == ml.Short:
		return gp.all
	case le >= ml.Long:
		return gp.all[from:]
	default:
		return gp.all[:from]
	}
}

// resize sets how many endpoints take long prompts by their share of the
// work.
func (gp *group) resize(now time.Time) {
	if now.Sub(gp.sized) < longSetInterval {
		return
	}
	gp.sized = now
	const decay = 0.9
	gp.counts[0] *= decay
	gp.counts[1] *= decay
	all := gp.counts[0] + gp.counts[1]
	n := len(gp.all)
	if n < 2 || gp.counts[1] == 0 || all == 0 {
		gp.long = 0
		return
	}
	want := int(float64(n)*gp.counts[1]/all + 0.5)
	gp.long = min(max(want, 1), n-1)
}
