package router

import (
	"math/rand/v2"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// staleAfter is the time after which a load that was not renewed no
	// longer makes its endpoint a candidate.
	staleAfter = 3 * time.Second
	// maxSeen bounds the prefixes that are remembered.
	maxSeen = 8192
	// PrefixBlockTokens is the size of the block that prefixes are compared by.
	PrefixBlockTokens ml.Tokens = 1024
)

// Table holds the candidates. It is not safe for concurrent use.
type Table struct {
	Self       ml.VMID
	Home       ml.DomainID
	Policy     Policy
	SampleSize int // looked at per request

	groups map[string]*group
	byID   map[ml.EndpointID]*Candidate
	seen   map[uint64]bool // prefixes of earlier prompts
	hits   float64         // share of prompts with a seen prefix that found it in the cache
	rng    *rand.Rand
}

// NewTable returns an empty table.
func NewTable(home ml.DomainID, po Policy, candidates int, seed uint64) *Table {
	return &Table{
		Home: home, Policy: po, SampleSize: candidates,
		groups: make(map[string]*group), byID: make(map[ml.EndpointID]*Candidate),
		seen: make(map[uint64]bool), rng: rand.New(rand.NewPCG(seed, 3)),
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
	if !ca.grouped {
		gp.insert(ca, ep.ID)
	}
	gp.setOwn(ca, owner == ta.Self)
	ca.Endpoint, ca.Owner, ca.Load, ca.Heard = ep, owner, lo, now
	ca.Added, ca.AddedReq = [ml.NumLengths]ml.Tokens{}, 0
}

// Remove drops an endpoint: it is leaving, gone or out of service.
func (ta *Table) Remove(id ml.EndpointID) {
	ca := ta.byID[id]
	if ca == nil {
		return
	}
	delete(ta.byID, id)
	ta.groupOf(ca.Endpoint).remove(ca)
}

// Retain drops the endpoints that keep returns false for.
func (ta *Table) Retain(keep func(ml.EndpointID) bool) {
	for id := range ta.byID {
		if !keep(id) {
			ta.Remove(id)
		}
	}
}

// Expire takes endpoints that were not heard of lately out of the choice. They
// come back with their next load.
func (ta *Table) Expire(now time.Time) {
	for _, ca := range ta.byID {
		if ca.grouped && now.Sub(ca.Heard) >= staleAfter {
			ta.groupOf(ca.Endpoint).remove(ca)
		}
	}
}

// Owner returns the owner of an endpoint as heard last, or "", and when it was
// heard.
func (ta *Table) Owner(id ml.EndpointID) (ml.VMID, time.Time) {
	if ca := ta.byID[id]; ca != nil {
		return ca.Owner, ca.Heard
	}
	return "", time.Time{}
}

// Load returns an endpoint's load as heard last. The second result is false
// when it was not heard of lately.
func (ta *Table) Load(now time.Time, id ml.EndpointID) (ml.EndpointLoad, bool) {
	ca := ta.byID[id]
	if ca == nil || now.Sub(ca.Heard) >= staleAfter {
		return ml.EndpointLoad{}, false
	}
	return ca.Load, true
}

// Pick returns the endpoint to offer re to, not one of avoid. The second
// result is false when there is none.
func (ta *Table) Pick(now time.Time, re Request, avoid []ml.EndpointID) (*Candidate, bool) {
	re.Home, re.self = ta.Home, ta.Self
	gp := ta.groups[key(re.Model, re.Service)]
	if gp == nil || len(gp.all) == 0 {
		return nil, false
	}
	gp.resize(now)
	re.longFrom = gp.longFrom()
	home := gp.home(re)
	if ta.seen[re.PrefixHash] {
		re.cacheAt, re.cached = home.Endpoint.ID, ml.Tokens(ta.hits*float64(PrefixBlockTokens))
	}
	cands := ta.sample(now, re, gp, home, avoid)
	if len(cands) == 0 {
		return nil, false
	}
	ca := cands[ta.Policy.Pick(now, ta.rng, re, cands)]
	return ca, true
}

// MaxWait returns the longest wait at ca for which no other endpoint is asked
// first, or zero for any.
func (ta *Table) MaxWait(now time.Time, re Request, ca *Candidate) time.Duration {
	return ta.Policy.MostWait(now, re, ca)
}

// RecordOffer records that re is being offered to the endpoint.
func (ta *Table) RecordOffer(id ml.EndpointID, re Request) {
	if ca := ta.byID[id]; ca != nil {
		ta.count(ta.group(key(re.Model, re.Service)), re)
		ta.remember(re.PrefixHash)
		ca.InFlight++
		ca.AddedReq++
		for le := re.Length; le <= ml.Huge; le++ {
			ca.Added[le] += re.Prompt
		}
	}
}

// RecordCacheUse records how many tokens of a prompt its endpoint found in its
// prefix cache. Only prompts with a prefix seen before tell anything.
func (ta *Table) RecordCacheUse(prefix uint64, cached ml.Tokens) {
	if !ta.seen[prefix] {
		return
	}
	const old, fresh = 0.95, 0.05 // weights of the moving average
	ta.hits *= old
	if cached >= PrefixBlockTokens {
		ta.hits += fresh
	}
}

// RecordEnd records that a request offered to the endpoint has ended.
func (ta *Table) RecordEnd(id ml.EndpointID) {
	if ca := ta.byID[id]; ca != nil {
		ca.InFlight--
	}
}

// Serves tells whether any endpoint for the model or service is known.
func (ta *Table) Serves(mo ml.ModelID, se ml.ServiceName) bool {
	gp := ta.groups[key(mo, se)]
	return gp != nil && len(gp.all) > 0
}

// LargestMemory returns the memory of the largest engine for a model.
func (ta *Table) LargestMemory(mo ml.ModelID) ml.Tokens {
	most := ml.Tokens(0)
	if gp := ta.groups[key(mo, "")]; gp != nil {
		for _, ca := range gp.all {
			most = max(most, ca.Endpoint.Memory)
		}
	}
	return most
}

// FreshEngines returns the fresh engines for a model by failure domain, for
// choosing a group.
func (ta *Table) FreshEngines(now time.Time, mo ml.ModelID) map[ml.DomainID][]*Candidate {
	out := make(map[ml.DomainID][]*Candidate)
	if gp := ta.groups[key(mo, "")]; gp != nil {
		for _, ca := range gp.all {
			if now.Sub(ca.Heard) < staleAfter {
				out[ca.Endpoint.Domain] = append(out[ca.Endpoint.Domain], ca)
			}
		}
	}
	return out
}

// count keeps decaying sums of the prompt tokens by kind of length.
func (ta *Table) count(gp *group, re Request) {
	i := 0
	if re.Length >= ml.Long {
		i = 1
	}
	gp.counts[i] += float64(re.Prompt)
}

// remember records a prefix. When there are too many, any other is forgotten.
func (ta *Table) remember(prefix uint64) {
	if prefix == 0 || ta.seen[prefix] {
		return
	}
	if len(ta.seen) >= maxSeen {
		for old := range ta.seen {
			delete(ta.seen, old)
			break
		}
	}
	ta.seen[prefix] = true
}

func (ta *Table) groupOf(ep ml.Endpoint) *group { return ta.group(key(ep.Model, ep.Service)) }

func (ta *Table) group(k string) *group {
	gp := ta.groups[k]
	if gp == nil {
		gp = &group{}
		ta.groups[k] = gp
	}
	return gp
}

func key(mo ml.ModelID, se ml.ServiceName) string {
	if se != "" {
		return "service/" + string(se)
	}
	return "model/" + string(mo)
}
