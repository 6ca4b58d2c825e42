package sharer

import (
	"math/rand/v2"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// Carrier returns the address of a member that can take over a request for a service: one
// of a region from which nothing says that it has lost its paths to the service. Members of
// the own failure domain come last, since all of it may be cut off. None of those that were
// tried is returned, and none that has said to have another configuration in force, or
// nothing of it.
func (sh *Sharer) Carrier(now time.Time, service ml.ServiceName, tried []string) (string, bool) {
	version := sh.Catalog.Version()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	near, far := []string{}, []string{}
	for _, me := range sh.members {
		if !me.canRelay(now) || slices.Contains(me.cut, service) || slices.Contains(tried, me.address) || !slices.Contains(sh.Region, me.domain) || me.version != version {
			continue
		}
		if me.domain == sh.Domain {
			near = append(near, me.address)
			continue
		}
		far = append(far, me.address)
	}
	for _, all := range [][]string{far, near} {
		if len(all) > 0 {
			return all[rand.IntN(len(all))], true
		}
	}
	return "", false
}
