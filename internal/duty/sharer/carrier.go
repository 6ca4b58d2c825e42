package sharer

import (
	"math/rand/v2"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// Carrier returns the address of a member that can take over a request for a service: one
// of a region from which nothing says that it has lost its paths to the service. Members with
// the same configuration in force come first, then those that have said to have another one,
// which may have changed since; a member of an earlier release says none and isn't asked.
// Members of the own failure domain come last, since all of it may be cut off. None of those
// that were tried is returned.
func (sh *Sharer) Carrier(now time.Time, service ml.ServiceName, tried []string) (string, bool) {
	version := sh.Catalog.Version()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	best, all := carrierRank{}, []string{}
	for _, me := range sh.members {
		if !me.canRelay(now) || slices.Contains(me.cut, service) || slices.Contains(tried, me.address) || !slices.Contains(sh.Region, me.domain) {
			continue
		}
		if me.version == 0 && version != 0 {
			continue
		}
		rank := carrierRank{isOtherVersion: me.version != version, isNear: me.domain == sh.Domain}
		if len(all) == 0 || rank.precedes(best) {
			best, all = rank, nil
		}
		if rank == best {
			all = append(all, me.address)
		}
	}
	if len(all) == 0 {
		return "", false
	}
	return all[rand.IntN(len(all))], true
}

// carrierRank orders the members that can carry a request. The zero value comes first.
type carrierRank struct{ isOtherVersion, isNear bool }

func (cr carrierRank) precedes(other carrierRank) bool {
	if cr.isOtherVersion != other.isOtherVersion {
		return !cr.isOtherVersion
	}
	return !cr.isNear && other.isNear
}
