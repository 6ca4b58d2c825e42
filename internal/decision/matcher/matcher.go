// Package matcher finds the route of a request and the team of its access key.
package matcher

import (
	"slices"
	"strings"

	ml "github.com/mulberrylever/mulberrylever"
)

// Matcher indexes one configuration. The zero value matches nothing.
type Matcher struct {
	Version     ml.Version
	Limits      ml.CallerLimits
	routes      map[string][]*ml.Route // by host, longest prefix first
	teams       map[string]*ml.TeamKeys
	services    map[ml.ServiceName]*ml.ServiceSpec
	requiresKey bool
}

// New returns a matcher for a configuration.
func New(co *ml.ServingConfig) *Matcher {
	ma := &Matcher{
		Version: co.Version, Limits: co.Limits, routes: make(map[string][]*ml.Route),
		teams: make(map[string]*ml.TeamKeys), services: make(map[ml.ServiceName]*ml.ServiceSpec), requiresKey: len(co.Teams) > 0,
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

// Route returns the route of host with the longest prefix that matches path.
func (ma *Matcher) Route(host, path string) (*ml.Route, bool) {
	for _, ro := range ma.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, ro.Prefix) {
			return ro, true
		}
	}
	return nil, false
}

// Team returns the team of an access key.
func (ma *Matcher) Team(key string) (*ml.TeamKeys, bool) {
	te, found := ma.teams[key]
	return te, found && key != ""
}

// RequiresKey reports whether requests need an access key.
func (ma *Matcher) RequiresKey() bool { return ma.requiresKey }

// Service returns the specification of a service.
func (ma *Matcher) Service(name ml.ServiceName) (*ml.ServiceSpec, bool) {
	sp, found := ma.services[name]
	return sp, found
}

// PickService picks a service of a route by weight, with the random number roll from
// 0 up to 1. The second result is false if no service has a weight.
func PickService(ro *ml.Route, roll float64) (ml.ServiceName, bool) {
	total := 0
	for _, ws := range ro.Services {
		total += max(ws.Weight, 0)
	}
	remaining := roll * float64(total)
	for _, ws := range ro.Services {
		remaining -= float64(max(ws.Weight, 0))
		if remaining < 0 {
			return ws.Service, true
		}
	}
	return "", false
}
