package divider_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/divider"
)

// init fixes the seed. -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// fleet holds the addresses of the entry VMs by failure domain.
type fleet map[ml.DomainID][]string

func drawFleet(rt *rapid.T) fleet {
	fl := fleet{}
	for i := range rapid.IntRange(1, 10).Draw(rt, "domains") {
		do := ml.DomainID(fmt.Sprint("d", i))
		for j := range rapid.IntRange(1, 40).Draw(rt, "entry VMs") {
			fl[do] = append(fl[do], fmt.Sprintf("10.%d.0.%d:7340", i, j))
		}
	}
	return fl
}

func (fl fleet) domains() []ml.DomainID {
	out := []ml.DomainID{}
	for do := range fl {
		out = append(out, do)
	}
	slices.Sort(out)
	return out
}

// sum returns the sum of the shares of all entry VMs. Each may also count the given
// strangers as members.
func (fl fleet) sum(limit int, key string, strangers func() []string) int {
	n := 0
	for do, members := range fl {
		for i, self := range members {
			others := slices.Delete(slices.Clone(members), i, i+1)
			view := ml.Membership{Version: 1, Self: self, Peers: append(others, strangers()...)}
			di := divider.Divider{Domain: do, Domains: fl.domains()}
			n += di.Share(view, key, limit)
		}
	}
	return n
}

func drawEndpoint(rt *rapid.T) string {
	return rapid.StringMatching("i-[0-9a-f]{8}").Draw(rt, "endpoint")
}

// TestSharesAddUp checks that the shares of all entry VMs add up to the limit.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl, limit := drawFleet(rt), rapid.IntRange(0, 200).Draw(rt, "limit")
		if sum := fl.sum(limit, drawEndpoint(rt), func() []string { return nil }); sum != limit {
			rt.Fatalf("the shares of a limit of %d add up to %d", limit, sum)
		}
	})
}

// TestStrangersTakeNothing checks that the sum stays within the limit when entry VMs
// count members that are gone, or whose domain they don't know, each of them others.
func TestStrangersTakeNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl, limit := drawFleet(rt), rapid.IntRange(0, 200).Draw(rt, "limit")
		strangers := func() []string {
			out := []string{}
			for i := range rapid.IntRange(0, 5).Draw(rt, "strangers") {
				out = append(out, fmt.Sprintf("10.99.%d.%d:7340", rapid.IntRange(0, 3).Draw(rt, "net"), i))
			}
			return out
		}
		if sum := fl.sum(limit, drawEndpoint(rt), strangers); sum > limit {
			rt.Fatalf("the shares of a limit of %d add up to %d", limit, sum)
		}
	})
}

// TestSharesSpread checks that an entry VM has a share of the engines that corresponds
// to its part of the fleet, so that it can serve its requests.
func TestSharesSpread(t *testing.T) {
	const engines, limit, perDomain, domains = 45, 15, 29, 3
	const mean = engines * limit / (perDomain * domains) // 7
	fl := fleet{}
	for i := range domains {
		do := ml.DomainID(fmt.Sprint("d", i))
		for j := range perDomain {
			fl[do] = append(fl[do], fmt.Sprintf("10.%d.0.%d:7340", i, j))
		}
	}
	for do, members := range fl {
		for i, self := range members {
			di := divider.Divider{Domain: do, Domains: fl.domains()}
			view := ml.Membership{Version: 1, Self: self, Peers: slices.Delete(slices.Clone(members), i, i+1)}
			n := 0
			for e := range engines {
				n += di.Share(view, fmt.Sprint("i-", e), limit)
			}
			if n < mean/3 {
				t.Errorf("%s may send %d requests a second, the mean is %d", self, n, mean)
			}
		}
	}
}

// TestViewChanges checks that shares follow a new view.
func TestViewChanges(t *testing.T) {
	di := divider.Divider{Domain: "d", Domains: []ml.DomainID{"d"}}
	alone := di.Share(ml.Membership{Version: 1, Self: "a"}, "e", 10)
	shared := di.Share(ml.Membership{Version: 2, Self: "a", Peers: []string{"b"}}, "e", 10)
	if alone != 10 || shared != 5 {
		t.Errorf("share %d alone and %d of two, want 10 and 5", alone, shared)
	}
}

// BenchmarkNewView measures the shares of all endpoints after a change of the view, at
// the size to design for: 190 entry VMs in each of 10 failure domains, 6,500 endpoints.
func BenchmarkNewView(b *testing.B) {
	const members, domains, endpoints = 190, 10, 6500
	di := divider.Divider{Domain: "d0"}
	for i := range domains {
		di.Domains = append(di.Domains, ml.DomainID(fmt.Sprint("d", i)))
	}
	view := ml.Membership{Self: "self"}
	for i := range members - 1 {
		view.Peers = append(view.Peers, fmt.Sprint("10.0.0.", i))
	}
	keys := make([]string, endpoints)
	for i := range keys {
		keys[i] = fmt.Sprint("i-", i)
	}
	for b.Loop() {
		view.Version++
		for _, key := range keys {
			di.Share(view, key, 27)
		}
	}
}
