package router

import (
	"math/rand/v2"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// maxLoadAge is the age at which a load is stale. Endpoints with a stale
	// load are no candidates.
	maxLoadAge = 3 * time.Second
	// maxKnownPrefixes bounds the prefixes of earlier prompts that a table stores.
	maxKnownPrefixes = 8192
	// PrefixBlockTokens is the size of a prompt's first block. Prompts with
	// the same first block share a prefix.
	PrefixBlockTokens ml.Tokens = 1024
)

// Table holds the known endpoints with their loads and picks among them. It is
// not safe for concurrent use.
type Table struct {
	Self       ml.VMID
	HomeDomain ml.DomainID
	Policy     Policy
	SampleSize int // candidates compared for each request

	groups        map[string]*group
	byID          map[ml.EndpointID]*Candidate
	knownPrefixes map[uint64]bool // prefixes of earlier prompts
	cacheHitRate  float64         // moving average of the share of known prefixes found in the cache
	rng           *rand.Rand
}

// NewTable returns an empty table.
func NewTable(homeDomain ml.DomainID, po Policy, sampleSize int, seed uint64) *Table {
	return &Table{
		HomeDomain: homeDomain, Policy: po, SampleSize: sampleSize,
		groups: make(map[string]*group), byID: make(map[ml.EndpointID]*Candidate),
		knownPrefixes: make(map[uint64]bool), rng: rand.New(rand.NewPCG(seed, 3)),
	}
}

// Update records an endpoint's load as its owner sent it.
func (ta *Table) Update(now time.Time, ep ml.Endpoint, owner ml.VMID, lo ml.EndpointLoad) {
	ca := ta.byID[ep.ID]
	if ca == nil {
		ca = &Candidate{}
		ta.byID[ep.ID] = ca
	}
	gp := ta.groupOf(ep)
	if !ca.inGroup {
		gp.insert(ca, ep.ID)
	}
	gp.setOwned(ca, owner == ta.Self)
	ca.Endpoint, ca.Owner, ca.Load, ca.LoadReceivedAt = ep, owner, lo, now
	ca.OfferedTokens, ca.OfferedRequests = [ml.NumLengths]ml.Tokens{}, 0
}

// Remove removes an endpoint that is leaving, no longer listed or out of service.
func (ta *Table) Remove(id ml.EndpointID) {
	ca := ta.byID[id]
	if ca == nil {
		return
	}
	delete(ta.byID, id)
	ta.groupOf(ca.Endpoint).remove(ca)
}

// Retain removes the endpoints for which keep returns false.
func (ta *Table) Retain(keep func(ml.EndpointID) bool) {
	for id := range ta.byID {
		if !keep(id) {
			ta.Remove(id)
		}
	}
}

// Expire removes endpoints with a stale load from their groups. Their next load
// adds them again.
func (ta *Table) Expire(now time.Time) {
	for _, ca := range ta.byID {
		if ca.inGroup && now.Sub(ca.LoadReceivedAt) >= maxLoadAge {
			ta.groupOf(ca.Endpoint).remove(ca)
		}
	}
}

// Owner returns the last known owner of an endpoint, or "", and when its last
// load was received.
func (ta *Table) Owner(id ml.EndpointID) (ml.VMID, time.Time) {
	if ca := ta.byID[id]; ca != nil {
		return ca.Owner, ca.LoadReceivedAt
	}
	return "", time.Time{}
}

// Load returns the last load of an endpoint. The second result is false when it
// is stale or unknown.
func (ta *Table) Load(now time.Time, id ml.EndpointID) (ml.EndpointLoad, bool) {
	ca := ta.byID[id]
	if ca == nil || now.Sub(ca.LoadReceivedAt) >= maxLoadAge {
		return ml.EndpointLoad{}, false
	}
	return ca.Load, true
}

// Pick returns the endpoint to offer re to, other than those of avoid. The
// second result is false when there is none.
func (ta *Table) Pick(now time.Time, re Request, avoid []ml.EndpointID) (*Candidate, bool) {
	re.HomeDomain, re.self = ta.HomeDomain, ta.Self
	gp := ta.groups[groupKey(re.Model, re.Service)]
	if gp == nil || len(gp.candidates) == 0 {
		return nil, false
	}
	gp.resizeLongSet(now)
	re.longSetStart = gp.longSetStart()
	home := gp.prefixHome(re)
	if ta.knownPrefixes[re.PrefixHash] {
		re.cacheEndpoint, re.cachedTokens = home.Endpoint.ID, ml.Tokens(ta.cacheHitRate*float64(PrefixBlockTokens))
	}
	cands := ta.sample(now, re, gp, home, avoid)
	if len(cands) == 0 {
		return nil, false
	}
	ca := cands[ta.Policy.Pick(now, ta.rng, re, cands)]
	return ca, true
}

// MaxWait returns the longest wait to accept at ca before another endpoint is
// asked, or zero for any.
func (ta *Table) MaxWait(now time.Time, re Request, ca *Candidate) time.Duration {
	return ta.Policy.MaxWait(now, re, ca)
}

// RecordOffer records that re is being offered to the endpoint.
func (ta *Table) RecordOffer(id ml.EndpointID, re Request) {
	if ca := ta.byID[id]; ca != nil {
		ta.countTokens(ta.group(groupKey(re.Model, re.Service)), re)
		ta.rememberPrefix(re.PrefixHash)
		ca.InFlight++
		ca.OfferedRequests++
		for le := re.Length; le <= ml.Huge; le++ {
			ca.OfferedTokens[le] += re.Prompt
		}
	}
}

// RecordCacheUse records how many tokens of a prompt its endpoint found in its
// prefix cache. Prompts with a new prefix are not counted.
func (ta *Table) RecordCacheUse(prefix uint64, cached ml.Tokens) {
	if !ta.knownPrefixes[prefix] {
		return
	}
	const oldWeight, newWeight = 0.95, 0.05 // weights of the moving average
	ta.cacheHitRate *= oldWeight
	if cached >= PrefixBlockTokens {
		ta.cacheHitRate += newWeight
	}
}

// RecordEnd records that a request offered to the endpoint has ended.
func (ta *Table) RecordEnd(id ml.EndpointID) {
	if ca := ta.byID[id]; ca != nil {
		ca.InFlight--
	}
}

// Serves reports whether the model or service has any endpoint with a fresh
// load.
func (ta *Table) Serves(mo ml.ModelID, se ml.ServiceName) bool {
	gp := ta.groups[groupKey(mo, se)]
	return gp != nil && len(gp.candidates) > 0
}

// LargestMemory returns the largest memory of an engine for a model.
func (ta *Table) LargestMemory(mo ml.ModelID) ml.Tokens {
	largest := ml.Tokens(0)
	if gp := ta.groups[groupKey(mo, "")]; gp != nil {
		for _, ca := range gp.candidates {
			largest = max(largest, ca.Endpoint.Memory)
		}
	}
	return largest
}

// FreshEngines returns the engines for a model that have a fresh load, by
// failure domain. Groups of engines for one prompt are chosen from them.
func (ta *Table) FreshEngines(now time.Time, mo ml.ModelID) map[ml.DomainID][]*Candidate {
	out := make(map[ml.DomainID][]*Candidate)
	if gp := ta.groups[groupKey(mo, "")]; gp != nil {
		for _, ca := range gp.candidates {
			if now.Sub(ca.LoadReceivedAt) < maxLoadAge {
				out[ca.Endpoint.Domain] = append(out[ca.Endpoint.Domain], ca)
			}
		}
	}
	return out
}

// countTokens adds a prompt to the sums that resizeLongSet uses.
func (ta *Table) countTokens(gp *group, re Request) {
	i := 0
	if re.Length >= ml.Long {
		i = 1
	}
	gp.promptTokens[i] += float64(re.Prompt)
}

// rememberPrefix records a prefix. When there are too many, an arbitrary one is
// dropped.
func (ta *Table) rememberPrefix(prefix uint64) {
	if prefix == 0 || ta.knownPrefixes[prefix] {
		return
	}
	if len(ta.knownPrefixes) >= maxKnownPrefixes {
		for old := range ta.knownPrefixes {
			delete(ta.knownPrefixes, old)
			break
		}
	}
	ta.knownPrefixes[prefix] = true
}

func (ta *Table) groupOf(ep ml.Endpoint) *group { return ta.group(groupKey(ep.Model, ep.Service)) }

func (ta *Table) group(key string) *group {
	gp := ta.groups[key]
	if gp == nil {
		gp = &group{}
		ta.groups[key] = gp
	}
	return gp
}

func groupKey(mo ml.ModelID, se ml.ServiceName) string {
	if se != "" {
		return "service/" + string(se)
	}
	return "model/" + string(mo)
}
