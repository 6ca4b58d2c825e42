package server

import (
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/administrator"
	"github.com/mulberrylever/mulberrylever/internal/decision/router"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
)

// status returns the status of this VM for operators.
func (se *Server) status(now time.Time) administrator.Status {
	st := administrator.Status{
		VM: se.Settings.VM, Domain: se.Settings.Domain, Release: se.Release, Version: se.keeper.View().Fleet.Version,
		LogHealthy: se.follower.Healthy(now), InFlight: se.admitter.InFlight(), Grants: se.holder.InUse(),
		LiveMembers: se.gossiper.LiveMembers(now), Owned: se.owner.Loads(now), Alerts: se.observer.alerts(now),
	}
	st.NotReadyReason = se.notReadyReason(now)
	st.Ready = st.NotReadyReason == ""
	return st
}

// maxDiscoveryWait is how long after its start this VM may stay not ready while it
// does not know an endpoint of every listed model and service.
const maxDiscoveryWait = 6 * time.Second

// notReadyReason returns why this VM is not ready, or an empty string when it is.
func (se *Server) notReadyReason(now time.Time) string {
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
	case now.Sub(se.started) < maxDiscoveryWait && !se.endpointsDiscovered():
		return "this VM does not know the endpoints' loads yet"
	}
	return ""
}

// endpointsDiscovered reports whether the routing table has an endpoint for
// every model and service that is listed and in service.
func (se *Server) endpointsDiscovered() bool {
	vi, discovered := se.keeper.View(), true
	se.gossiper.WithTable(func(ta *router.Table) {
		for _, ep := range se.keeper.VMs().Endpoints {
			if vi.OutOfServiceReason(ep) == "" && !ta.Serves(ep.Model, ep.Service) {
				discovered = false
			}
		}
	})
	return discovered
}

func (se *Server) fleet() *folder.Fleet { return se.keeper.View().Fleet }

// models returns the models of the listed engines that are in service.
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

// burnSnapshot returns this VM's counts of events against the service-level
// objectives.
func (se *Server) burnSnapshot(now time.Time) any {
	sn, err := se.observer.burner.Snapshot(now)
	if err != nil {
		se.Log.Error("failed to take snapshot of objective counts", "error", err)
	}
	return sn
}
