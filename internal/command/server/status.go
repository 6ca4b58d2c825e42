package server

import (
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/administrator"
	"github.com/mulberrylever/mulberrylever/internal/decision/router"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
)

// status is what this VM says of itself.
func (se *Server) status(now time.Time) administrator.Status {
	st := administrator.Status{
		VM: se.Settings.VM, Domain: se.Settings.Domain, Release: se.Release, Version: se.keeper.View().Fleet.Version,
		LogHealthy: se.follower.Healthy(now), InFlight: se.admitter.InFlight(), Grants: se.holder.InUse(),
		LiveMembers: se.gossiper.LiveMembers(now), Owned: se.owner.Loads(now), Alerts: se.observer.alerts(now),
	}
	st.NotReadyReason = se.notReady(now)
	st.Ready = st.NotReadyReason == ""
	return st
}

// settleTime is the time after the start within which this VM waits to hear of
// endpoints for everything that is listed.
const settleTime = 6 * time.Second

func (se *Server) notReady(now time.Time) string {
	vi := se.keeper.View()
	switch {
	case se.leaving.Load():
		return "this VM is stopping"
	case !se.keeper.Loaded():
		return "neither the platform nor a neighbour has told configuration and VMs"
	case vi.Fleet.VMIsOut(string(se.Settings.VM)):
		return "this VM is out of service"
	case vi.Fleet.DomainIsOut(se.Settings.Domain):
		return "this failure domain is out of service"
	case se.gossiper.Observing(now):
		return "this VM does not know its failure domain yet"
	case now.Sub(se.started) < settleTime && !se.routesKnown():
		return "this VM does not know the endpoints' loads yet"
	}
	return ""
}

// routesKnown tells whether an endpoint was heard of for every model and
// service that is listed in service.
func (se *Server) routesKnown() bool {
	vi, known := se.keeper.View(), true
	se.gossiper.WithTable(func(ta *router.Table) {
		for _, ep := range se.keeper.VMs().Endpoints {
			if vi.OutOfServiceReason(ep) == "" && !ta.Serves(ep.Model, ep.Service) {
				known = false
			}
		}
	})
	return known
}

func (se *Server) fleet() *folder.Fleet { return se.keeper.View().Fleet }

// models returns the models that the listed engines in service have.
func (se *Server) models() []ml.ModelID {
	vi, out := se.keeper.View(), []ml.ModelID{}
	for _, ep := range se.keeper.VMs().Endpoints {
		if ep.Kind == ml.KindEngine && vi.OutOfServiceReason(ep) == "" {
			out = append(out, ep.Model)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// burn returns what this VM has counted against the objectives.
func (se *Server) burn(now time.Time) any {
	sn, err := se.observer.burner.Snapshot(now)
	if err != nil {
		se.Log.Error("count burn", "error", err)
	}
	return sn
}
