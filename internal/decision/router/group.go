package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ml "github.com/mulberrylever/mulberrylever"
)

// longSetResizeInterval is the time between two resizings of the set for long
// prompts.
const longSetResizeInterval = time.Second

// group holds the fresh endpoints that serve one model or service. Its first
// endpoints form the set for medium prompts, the last ones that for long ones.
type group struct {
	candidates     []*Candidate // sorted by the hashes of their ids
	owned          []*Candidate // those that this VM owns
	lastRoundRobin int          // index of the endpoint picked last in turn
	longCount      int          // endpoints at the end of candidates that take long prompts; zero when none is set apart
	promptTokens   [2]float64   // decaying sums: 0 for prompts shorter than ml.Long, 1 for the others
	resizedAt      time.Time
}

// insert adds an endpoint. The endpoints are sorted by the hashes of their ids,
// so that all entry VMs agree on the sets and each set is spread over the
// domains.
func (gp *group) insert(ca *Candidate, id ml.EndpointID) {
	ca.idHash = xxhash.Sum64String(string(id))
	at, _ := slices.BinarySearchFunc(gp.candidates, ca.idHash, func(other *Candidate, hash uint64) int {
		return cmp.Compare(other.idHash, hash)
	})
	gp.candidates = slices.Insert(gp.candidates, at, ca)
	ca.inGroup = true
}

// remove removes an endpoint from the group.
func (gp *group) remove(ca *Candidate) {
	gp.candidates = slices.DeleteFunc(gp.candidates, func(other *Candidate) bool { return other == ca })
	gp.setOwned(ca, false)
	ca.inGroup = false
}

// setOwned records whether this VM owns an endpoint.
func (gp *group) setOwned(ca *Candidate, isOwned bool) {
	at := slices.Index(gp.owned, ca)
	switch {
	case isOwned && at < 0:
		gp.owned = append(gp.owned, ca)
	case !isOwned && at >= 0:
		gp.owned = slices.Delete(gp.owned, at, at+1)
	}
}

// prefixHome returns the preferred endpoint for a prefix, by consistent hashing.
// All entry VMs prefer the same one without communication, so that prompts find
// their prefix in its cache.
func (gp *group) prefixHome(re Request) *Candidate {
	set := gp.lengthSet(re.Length)
	at, _ := slices.BinarySearchFunc(set, re.PrefixHash, func(ca *Candidate, prefix uint64) int {
		return cmp.Compare(ca.idHash, prefix)
	})
	return set[at%len(set)]
}

// longSetStart returns the id hash of the first endpoint for long prompts, or
// zero when no endpoints are set apart for them.
func (gp *group) longSetStart() uint64 {
	if gp.longCount == 0 || gp.longCount >= len(gp.candidates) {
		return 0
	}
	return gp.candidates[len(gp.candidates)-gp.longCount].idHash
}

// lengthSet returns the preferred endpoints for a length: the last ones for long
// prompts and the others for medium ones. Short prompts may go to all, since
// engines process them first.
func (gp *group) lengthSet(le ml.Length) []*Candidate {
	from := len(gp.candidates) - gp.longCount
	switch {
	case gp.longCount == 0 || from <= 0 || le == ml.Short:
		return gp.candidates
	case le >= ml.Long:
		return gp.candidates[from:]
	default:
		return gp.candidates[:from]
	}
}

// resizeLongSet sets the number of endpoints for long prompts in proportion to
// their share of the recent prompt tokens.
func (gp *group) resizeLongSet(now time.Time) {
	if now.Sub(gp.resizedAt) < longSetResizeInterval {
		return
	}
	gp.resizedAt = now
	const decay = 0.9
	gp.promptTokens[0] *= decay
	gp.promptTokens[1] *= decay
	total := gp.promptTokens[0] + gp.promptTokens[1]
	n := len(gp.candidates)
	if n < 2 || gp.promptTokens[1] == 0 || total == 0 {
		gp.longCount = 0
		return
	}
	want := int(float64(n)*gp.promptTokens[1]/total + 0.5)
	gp.longCount = min(max(want, 1), n-1)
}
