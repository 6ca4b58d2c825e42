// Package keeper keeps the newest state of the fleet for all duties of one
// entry VM to read without locks.
package keeper

import (
	"sync"
	"sync/atomic"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/state/auditor"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
	"github.com/mulberrylever/mulberrylever/internal/state/mutator"
)

// View is the operators' state with its exceptions worked out. It never
// changes once it was made.
type View struct {
	Fleet  *folder.Fleet
	Config *configurer.Effective
}

// Keeper holds the newest state.
type Keeper struct {
	Auditor         *auditor.Auditor
	OnChangeApplied func(changed time.Time) // told when a change is in force here; may be nil

	mu   sync.Mutex // held by writers
	view atomic.Pointer[View]
	vms  atomic.Pointer[listing]
}

// listing is the list of VMs with what is looked up in it. It never changes
// once it was made.
type listing struct {
	vms       ml.VMs
	entries   map[ml.VMID]ml.EntryVM
	endpoints map[ml.EndpointID]ml.Endpoint
	places    map[ml.Place][]ml.Endpoint
	members   map[ml.Place][]ml.VMID
}

// View returns the operators' state. Before any was read it is the built-in
// default.
func (ke *Keeper) View() *View {
	if vi := ke.view.Load(); vi != nil {
		return vi
	}
	fl := folder.NewFleet()
	return &View{Fleet: fl, Config: configurer.Resolve(fl.Config, nil)}
}

// Loaded tells whether the operators' state and the list of VMs were read.
func (ke *Keeper) Loaded() bool { return ke.view.Load() != nil && ke.vms.Load() != nil }

// SetFleet makes fl the state in force.
func (ke *Keeper) SetFleet(fl *folder.Fleet) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	old := ke.view.Load()
	if old != nil {
		err := ke.Auditor.Check(auditor.ConfigNeverReverts, fl.Version >= old.Fleet.Version,
			"version %d after version %d", fl.Version, old.Fleet.Version)
		if (err != nil && !mutator.Disabled(mutator.Versions)) || old.Fleet == fl {
			return
		}
	}
	ke.view.Store(&View{Fleet: fl, Config: configurer.Resolve(fl.Config, fl.Exceptions)})
	if ke.OnChangeApplied != nil && old != nil && fl.Version > old.Fleet.Version {
		ke.OnChangeApplied(fl.ChangedAt())
	}
}

// VMs returns the newest list of VMs.
func (ke *Keeper) VMs() ml.VMs {
	return ke.listing().vms
}

func (ke *Keeper) listing() *listing {
	if li := ke.vms.Load(); li != nil {
		return li
	}
	return &listing{}
}

// SetVMs replaces the list of VMs.
func (ke *Keeper) SetVMs(vms ml.VMs) {
	li := &listing{
		vms: vms, entries: make(map[ml.VMID]ml.EntryVM, len(vms.Entries)),
		endpoints: make(map[ml.EndpointID]ml.Endpoint, len(vms.Endpoints)), places: make(map[ml.Place][]ml.Endpoint),
		members: make(map[ml.Place][]ml.VMID),
	}
	for _, en := range vms.Entries {
		li.entries[en.ID] = en
		li.members[en.Place()] = append(li.members[en.Place()], en.ID)
	}
	for _, ep := range vms.Endpoints {
		li.endpoints[ep.ID] = ep
		li.places[ep.Place()] = append(li.places[ep.Place()], ep)
	}
	ke.vms.Store(li)
}

// OutOfServiceReason tells whether an endpoint may be given new work. The reason is
// empty when it may.
func (vi *View) OutOfServiceReason(ep ml.Endpoint) (reason string) {
	switch {
	case ep.State == ml.StateLeaving && !mutator.Disabled(mutator.Leaving):
		return "the endpoint is leaving"
	case vi.Fleet.DomainIsOut(ep.Domain) && !mutator.Disabled(mutator.DomainsOut):
		return "its failure domain is out of service"
	case vi.Fleet.VMIsOut(string(ep.ID)):
		return "its VM is out of service"
	}
	return ""
}

// Endpoint returns the listed endpoint with an id.
func (ke *Keeper) Endpoint(id ml.EndpointID) (ml.Endpoint, bool) {
	ep, found := ke.listing().endpoints[id]
	return ep, found
}

// Entry returns the listed entry VM with an id.
func (ke *Keeper) Entry(id ml.VMID) (ml.EntryVM, bool) {
	en, found := ke.listing().entries[id]
	return en, found
}

// EndpointsAt returns the listed endpoints of a place. The caller must not
// change them.
func (ke *Keeper) EndpointsAt(pl ml.Place) []ml.Endpoint { return ke.listing().places[pl] }

// EntriesAt returns the listed entry VMs of a place. The caller must not change
// them.
func (ke *Keeper) EntriesAt(pl ml.Place) []ml.VMID { return ke.listing().members[pl] }
