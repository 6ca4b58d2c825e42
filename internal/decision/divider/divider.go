// Package divider divides a limit that holds for the whole fleet among its entry VMs.
// The shares follow from who the members are, and from nothing that happens between
// them, so that their sum keeps the limit however late members hear of each other's
// requests.
//
// A limit is divided among the failure domains first, which is the same at all entry
// VMs, and within a domain among its entry VMs. If there are fewer requests than entry
// VMs, some get one and the others none; which ones differs between keys, such as
// endpoints. An entry VM that knows a member too many takes less than its share, never
// more.
package divider

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	ml "github.com/mulberrylever/mulberrylever"
)

// Divider computes the shares of one entry VM. It is safe for concurrent use.
type Divider struct {
	// Domain is the failure domain of this entry VM, Domains are all of the fleet.
	Domain  ml.DomainID
	Domains []ml.DomainID

	mu    sync.Mutex
	view  ml.Membership
	self  uint64          // hash of view.Self
	peers []uint64        // hashes of view.Peers
	ranks map[string]rank // by key, for view
}

// rank is the place, from 0, of this entry VM in the order that a key gives to the
// failure domains, and within them to the entry VMs.
type rank struct {
	domain, member int
}

// Share returns the part of the limit with a key that this entry VM may use.
func (di *Divider) Share(view ml.Membership, key string, limit int) int {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.setView(view)
	ra, known := di.ranks[key]
	if !known {
		ra = di.computeRank(key)
		di.ranks[key] = ra
	}
	ofDomain := divide(limit, len(di.Domains), ra.domain)
	return divide(ofDomain, 1+len(di.peers), ra.member)
}

// divide returns what the holder with an index gets when n is divided among a number
// of holders. The remainder goes to the first ones, one each.
func divide(n, holders, index int) int {
	if holders <= 1 {
		return n
	}
	share := n / holders
	if index < n%holders {
		share++
	}
	return share
}

// setView sets the view, and drops what was computed for an earlier one.
func (di *Divider) setView(view ml.Membership) {
	if di.ranks != nil && di.view.Version == view.Version {
		return
	}
	di.view, di.self = view, xxhash.Sum64String(view.Self)
	di.peers = make([]uint64, len(view.Peers))
	for i, address := range view.Peers {
		di.peers[i] = xxhash.Sum64String(address)
	}
	di.ranks = make(map[string]rank)
}

// computeRank computes the rank for a key.
func (di *Divider) computeRank(key string) rank {
	keyHash := xxhash.Sum64String(key)
	domains := make([]uint64, len(di.Domains))
	for i, do := range di.Domains {
		domains[i] = xxhash.Sum64String(string(do))
	}
	own := xxhash.Sum64String(string(di.Domain))
	return rank{domain: countBefore(keyHash, own, domains), member: countBefore(keyHash, di.self, di.peers)}
}

// countBefore returns how many of the others come before self in the order that a key
// gives to them (rendezvous hashing).
func countBefore(key, self uint64, others []uint64) int {
	weight := mix(key, self)
	n := 0
	for _, other := range others {
		if mix(key, other) > weight {
			n++
		}
	}
	return n
}

// mix combines two hashes (the finalizer of SplitMix64).
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
