package matcher_test

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/matcher"
)

// TestRoute checks the lookups by host, prefix and access key.
func TestRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	ma := matcher.New(&ml.ServingConfig{
		Routes: []ml.Route{{Name: "all", Host: "a.example", Prefix: "/"}, {Name: "x", Host: "A.example", Prefix: "/x/"}, {Name: "xy", Host: "a.example", Prefix: "/x/y/"}},
		Teams:  []ml.TeamKeys{{Team: "t", Keys: []string{"k"}}},
	})
	for path, want := range map[string]ml.RouteName{"/x/y/z": "xy", "/x/yy": "x", "/x": "all"} {
		ro, found := ma.Route("a.EXAMPLE", path)
		g.Expect(found).To(gomega.BeTrue())
		g.Expect(ro.Name).To(gomega.Equal(want), path)
	}
	_, found := ma.Route("b.example", "/x/")
	g.Expect(found).To(gomega.BeFalse())
	te, found := ma.Team("k")
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(te.Team).To(gomega.Equal(ml.TeamID("t")))
	_, found = ma.Team("")
	g.Expect(found).To(gomega.BeFalse())
}

// TestLongestPrefix compares the longest matching prefix with that of a linear
// search.
func TestLongestPrefix(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		prefixes := rapid.SliceOf(rapid.StringMatching(`/([ab]/){0,4}`)).Draw(rt, "prefixes")
		co := &ml.ServingConfig{}
		for _, prefix := range prefixes {
			co.Routes = append(co.Routes, ml.Route{Host: "h", Prefix: prefix})
		}
		path := rapid.StringMatching(`/([abc]/){0,5}`).Draw(rt, "path")
		longest := ""
		for _, prefix := range prefixes {
			if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
				longest = prefix
			}
		}
		ro, found := matcher.New(co).Route("h", path)
		if found != (longest != "") || found && ro.Prefix != longest {
			rt.Fatalf("%q: got %v, want %q", path, ro, longest)
		}
	})
}

// TestPickService checks that services are picked by weight and that a service
// without weight is never picked.
func TestPickService(t *testing.T) {
	g := gomega.NewWithT(t)
	ro := &ml.Route{Services: []ml.WeightedService{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}}
	for roll, want := range map[float64]ml.ServiceName{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		got, found := matcher.PickService(ro, roll)
		g.Expect(found).To(gomega.BeTrue())
		g.Expect(got).To(gomega.Equal(want))
	}
	_, found := matcher.PickService(&ml.Route{}, 0.5)
	g.Expect(found).To(gomega.BeFalse())
}
