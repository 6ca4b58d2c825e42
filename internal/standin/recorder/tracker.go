package recorder

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// trackedVM is a VM with the version of the list at which it last changed.
type trackedVM[T comparable] struct {
	vm      T
	version int64
	removed bool
}

// tracker assigns versions to the changes of the list, so that a reader can fetch
// only the changes after the version that it has.
type tracker struct {
	baseVersion int64 // version before the first change of this process; older ones are unknown
	version     int64
	entries     map[ml.VMID]trackedVM[ml.EntryVM]
	endpoints   map[ml.EndpointID]trackedVM[ml.Endpoint]
}

// listDelta holds the changes of the list after a version.
type listDelta struct {
	Version          int64           `json:"version"`
	Full             bool            `json:"whole"` // a complete list, which replaces the reader's list
	Entries          []ml.EntryVM    `json:"entries"`
	Endpoints        []ml.Endpoint   `json:"endpoints"`
	RemovedEntries   []ml.VMID       `json:"goneEntries,omitempty"`
	RemovedEndpoints []ml.EndpointID `json:"goneEndpoints,omitempty"`
}

// changesSince records the differences from the list of the last call under a new
// version. It returns the changes after the version since, or the complete list if
// this process does not know that version.
func (tr *tracker) changesSince(now time.Time, vms ml.VMs, since int64) listDelta {
	if tr.entries == nil {
		tr.baseVersion = now.UnixMilli()
		tr.version = tr.baseVersion
		tr.entries = make(map[ml.VMID]trackedVM[ml.EntryVM])
		tr.endpoints = make(map[ml.EndpointID]trackedVM[ml.Endpoint])
	}
	next := tr.version + 1
	changed := trackChanges(tr.entries, vms.Entries, next, func(en ml.EntryVM) ml.VMID { return en.ID })
	if trackChanges(tr.endpoints, vms.Endpoints, next, func(ep ml.Endpoint) ml.EndpointID { return ep.ID }) || changed {
		tr.version = next
	}
	ld := listDelta{Version: tr.version, Full: since < tr.baseVersion || since > tr.version}
	ld.Entries, ld.RemovedEntries = changedAfter(tr.entries, since, ld.Full)
	ld.Endpoints, ld.RemovedEndpoints = changedAfter(tr.endpoints, since, ld.Full)
	return ld
}

// trackChanges records the VMs that differ from the known ones under a new version.
// It reports whether there are any.
func trackChanges[K, T comparable](known map[K]trackedVM[T], vms []T, version int64, id func(T) K) bool {
	changed, listed := false, make(map[K]bool, len(vms))
	for _, vm := range vms {
		listed[id(vm)] = true
		if previous, found := known[id(vm)]; !found || previous.removed || previous.vm != vm {
			known[id(vm)] = trackedVM[T]{vm: vm, version: version}
			changed = true
		}
	}
	for key, previous := range known {
		if !listed[key] && !previous.removed {
			known[key] = trackedVM[T]{vm: previous.vm, version: version, removed: true}
			changed = true
		}
	}
	return changed
}

// changedAfter returns the VMs that changed after a version and the ids of those that
// were removed. If full is true, it returns all listed VMs.
func changedAfter[K, T comparable](known map[K]trackedVM[T], since int64, full bool) (vms []T, removed []K) {
	for key, tr := range known {
		switch {
		case tr.removed && !full && tr.version > since:
			removed = append(removed, key)
		case !tr.removed && (full || tr.version > since):
			vms = append(vms, tr.vm)
		}
	}
	return vms, removed
}
