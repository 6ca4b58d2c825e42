// Package matcher finds the route of a request and the team of its key.
package matcher

import (
	"slices"
	"strings"

	ml "github.com/mulberrylever/mulberrylever"
)

// Matcher looks things up in one configuration. The zero value knows nothing.
type Matcher struct {
	Version  ml.Version
	Limits   ml.CallerLimits
	routes   map[string][]*ml.Route // by host, longest prefix first
	teams    map[string]*ml.TeamKeys
	services map[ml.ServiceName]*ml.ServiceSpec
	keyed    bool
}

// New returns the matcher of a configuration.
func New(co *ml.ServingConfig) *Matcher {
	ma := &Matcher{
		Version: co.Version, Limits: co.Limits, routes: make(map[string][]*ml.Route),
		teams: make(map[string]*ml.TeamKeys), services: make(map[ml.ServiceName]*ml.ServiceSpec), keyed: len(co.Teams) > 0,
	}
	for i := range co.Routes {
		ro := &co.Routes[i]
		host := strings.ToLower(ro.Host)
		ma.routes[host] = append(ma.routes[host], ro)
	}
	for _, all := range ma.routes {
		slices.SortStableFunc(all, func(a, b *ml.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range co.Teams {
		for _, key := range co.Teams[i].Keys {
			ma.teams[key] = &co.Teams[i]
		}
	}
	for i := range co.Services {
		ma.services[co.Services[i].Name] = &co.Services[i]
	}
	return ma
}

// Route returns the route with the longest prefix of path among those of host.
func (ma *Matcher) Route(host, path string) (*ml.Route, bool) {
	for _, ro := range ma.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, ro.Prefix) {
			return ro, true
		}
	}
	return nil, false
}

// Team returns whose key it is.
func (ma *Matcher) Team(key string) (*ml.TeamKeys, bool) {
	te, found := ma.teams[key]
	return te, found && key != ""
}

// RequiresKey tells whether requests need a key.
func (ma *Matcher) RequiresKey() bool { return ma.keyed }

// Service returns what is known of a service.
func (ma *Matcher) Service(name ml.ServiceName) (*ml.ServiceSpec, bool) {
	sp, found := ma.services[name]
	return sp, found
}

// PickService returns the service that takes a request of a route, by weight. Roll is
// a random number from 0 up to 1.
func PickService(ro *ml.Route, roll float64) (ml.ServiceName, bool) {
	total := 0
	for _, ws := range ro.Services {
		total += max(ws.Weight, 0)
	}
	left := roll * float64(total)
	for _, ws := range ro.Services {
		left -= float64(max(ws.Weight, 0))
		if left < 0 {
			return ws.Service, true
		}
	}
	return "", false
}
