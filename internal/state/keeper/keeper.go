// Package keeper holds the newest configuration of the fleet and list of VMs
// in memory. All components of one entry VM read them without locks.
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

// View is the operators' configuration with its exceptions applied. It is
// immutable.
type View struct {
	Fleet  *folder.Fleet
	Config *configurer.Effective
}

// Keeper holds the newest configuration and list of VMs.
type Keeper struct {
	Auditor *auditor.Auditor

	// OnChangeApplied is called when a newer configuration takes effect on
	// this VM, with the time at which the log accepted it. It may be nil.
	OnChangeApplied func(acceptedAt time.Time)

	mu          sync.Mutex // held by writers
	view        atomic.Pointer[View]
	vms         atomic.Pointer[vmIndex]
	confirmedAt atomic.Pointer[time.Time]
}

// vmIndex is the list of VMs with its lookup tables. It is immutable.
type vmIndex struct {
	vms              ml.VMs
	entries          map[ml.VMID]ml.EntryVM
	endpoints        map[ml.EndpointID]ml.Endpoint
	endpointsByPlace map[ml.Place][]ml.Endpoint
	entriesByPlace   map[ml.Place][]ml.VMID
}

// View returns the configuration in force. Until one was read, it is the
// built-in default.
func (ke *Keeper) View() *View {
	if vi := ke.view.Load(); vi != nil {
		return vi
	}
	fl := folder.NewFleet()
	return &View{Fleet: fl, Config: configurer.Resolve(fl.Config, nil)}
}

// Loaded reports whether the configuration and the list of VMs were read.
func (ke *Keeper) Loaded() bool { return ke.view.Load() != nil && ke.vms.Load() != nil }

// SetFleet puts fl into force. A state with an older version violates an
// invariant and is ignored.
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
	return ke.index().vms
}

func (ke *Keeper) index() *vmIndex {
	if ix := ke.vms.Load(); ix != nil {
		return ix
	}
	return &vmIndex{}
}

// SetVMs replaces the list of VMs.
func (ke *Keeper) SetVMs(vms ml.VMs) {
	ix := &vmIndex{
		vms: vms, entries: make(map[ml.VMID]ml.EntryVM, len(vms.Entries)),
		endpoints: make(map[ml.EndpointID]ml.Endpoint, len(vms.Endpoints)), endpointsByPlace: make(map[ml.Place][]ml.Endpoint),
		entriesByPlace: make(map[ml.Place][]ml.VMID),
	}
	for _, en := range vms.Entries {
		ix.entries[en.ID] = en
		ix.entriesByPlace[en.Place()] = append(ix.entriesByPlace[en.Place()], en.ID)
	}
	for _, ep := range vms.Endpoints {
		ix.endpoints[ep.ID] = ep
		ix.endpointsByPlace[ep.Place()] = append(ix.endpointsByPlace[ep.Place()], ep)
	}
	ke.vms.Store(ix)
}

// ConfirmVMs records that the platform has answered a request for the list of VMs that was
// sent at sentAt, and that the list is in force.
func (ke *Keeper) ConfirmVMs(sentAt time.Time) { ke.confirmedAt.Store(&sentAt) }

// VMsConfirmedAt returns a time at which the list in force was the newest. It is zero if
// none was read from the platform itself.
func (ke *Keeper) VMsConfirmedAt() time.Time {
	if at := ke.confirmedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// OutOfServiceReason returns why an endpoint gets no new work, or "" if it is
// in service.
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
	ep, found := ke.index().endpoints[id]
	return ep, found
}

// Entry returns the listed entry VM with an id.
func (ke *Keeper) Entry(id ml.VMID) (ml.EntryVM, bool) {
	en, found := ke.index().entries[id]
	return en, found
}

// EndpointsAt returns the listed endpoints of a place. The caller must not
// change them.
func (ke *Keeper) EndpointsAt(pl ml.Place) []ml.Endpoint { return ke.index().endpointsByPlace[pl] }

// EntriesAt returns the listed entry VMs of a place. The caller must not change
// them.
func (ke *Keeper) EntriesAt(pl ml.Place) []ml.VMID { return ke.index().entriesByPlace[pl] }
