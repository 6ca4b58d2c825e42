package recorder

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// tracked is a listed VM with the version at which it last changed.
type tracked[T comparable] struct {
	vm      T
	version int64
	gone    bool
}

// tracker numbers the changes of the list, so that readers fetch only what is
// new to them.
type tracker struct {
	base      int64 // version before the first change of this process
	version   int64
	entries   map[ml.VMID]tracked[ml.EntryVM]
	endpoints map[ml.EndpointID]tracked[ml.Endpoint]
}

// listPart is what changed in the list after a version.
type listPart struct {
	Version       int64           `json:"version"`
	Whole         bool            `json:"whole"` // replaces what the reader has
	Entries       []ml.EntryVM    `json:"entries"`
	Endpoints     []ml.Endpoint   `json:"endpoints"`
	GoneEntries   []ml.VMID       `json:"goneEntries,omitempty"`
	GoneEndpoints []ml.EndpointID `json:"goneEndpoints,omitempty"`
}

// show numbers what changed in the list since the last call and returns what
// came after a version.
func (tr *tracker) show(now time.Time, vms ml.VMs, since int64) listPart {
	if tr.entries == nil {
		tr.base = now.UnixMilli()
		tr.version = tr.base
		tr.entries = make(map[ml.VMID]tracked[ml.EntryVM])
		tr.endpoints = make(map[ml.EndpointID]tracked[ml.Endpoint])
	}
	next := tr.version + 1
	changed := track(tr.entries, vms.Entries, next, func(en ml.EntryVM) ml.VMID { return en.ID })
	if track(tr.endpoints, vms.Endpoints, next, func(ep ml.Endpoint) ml.EndpointID { return ep.ID }) || changed {
		tr.version = next
	}
	pa := listPart{Version: tr.version, Whole: since < tr.base || since > tr.version}
	pa.Entries, pa.GoneEntries = after(tr.entries, since, pa.Whole)
	pa.Endpoints, pa.GoneEndpoints = after(tr.endpoints, since, pa.Whole)
	return pa
}

// track records the VMs that differ from what is known under a new version. It
// tells whether there were any.
func track[K, T comparable](known map[K]tracked[T], vms []T, version int64, id func(T) K) bool {
	changed, listed := false, make(map[K]bool, len(vms))
	for _, vm := range vms {
		listed[id(vm)] = true
		if old, found := known[id(vm)]; !found || old.gone || old.vm != vm {
			known[id(vm)] = tracked[T]{vm: vm, version: version}
			changed = true
		}
	}
	for key, old := range known {
		if !listed[key] && !old.gone {
			known[key] = tracked[T]{vm: old.vm, version: version, gone: true}
			changed = true
		}
	}
	return changed
}

// after returns the VMs that changed after a version, and those that are gone.
func after[K, T comparable](known map[K]tracked[T], since int64, whole bool) (vms []T, gone []K) {
	for key, tr := range known {
		switch {
		case tr.gone && !whole && tr.version > since:
			gone = append(gone, key)
		case !tr.gone && (whole || tr.version > since):
			vms = append(vms, tr.vm)
		}
	}
	return vms, gone
}
