// Package lister reaches the platform's list of VMs. It fetches what changed
// since the last time and keeps the whole.
package lister

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/requester"
)

// Lister implements ml.VMList. It is not safe for concurrent use.
type Lister struct {
	Address string // host:port
	calls   requester.Requester

	version   int64 // of the list as fetched last
	entries   map[ml.VMID]ml.EntryVM
	endpoints map[ml.EndpointID]ml.Endpoint
	vms       ml.VMs
}

// part is what changed in the list after a version.
type part struct {
	Version       int64           `json:"version"`
	Whole         bool            `json:"whole"` // replaces what was fetched before
	Entries       []ml.EntryVM    `json:"entries"`
	Endpoints     []ml.Endpoint   `json:"endpoints"`
	GoneEntries   []ml.VMID       `json:"goneEntries"`
	GoneEndpoints []ml.EndpointID `json:"goneEndpoints"`
}

// New returns the client of the list at address.
func New(so requester.SourceIP, address string) *Lister {
	const timeout = 3 * time.Second
	return &Lister{Address: address, calls: requester.Requester{Client: requester.NewClient(so, timeout, timeout), Step: "list VMs"}}
}

// List implements ml.VMList.
func (li *Lister) List(ctx context.Context) (vms ml.VMs, changed bool, err error) {
	pa := part{}
	path := fmt.Sprintf("/vms?since=%d", li.version)
	if err := li.calls.Do(ctx, http.MethodGet, li.Address, path, nil, &pa); err != nil {
		return ml.VMs{}, false, err
	}
	if !pa.Whole && pa.Version == li.version {
		return li.vms, false, nil
	}
	li.take(pa)
	return li.vms, true, nil
}

// take adds what changed to what was fetched before.
func (li *Lister) take(pa part) {
	if pa.Whole || li.entries == nil {
		li.entries, li.endpoints = make(map[ml.VMID]ml.EntryVM), make(map[ml.EndpointID]ml.Endpoint)
	}
	for _, id := range pa.GoneEntries {
		delete(li.entries, id)
	}
	for _, id := range pa.GoneEndpoints {
		delete(li.endpoints, id)
	}
	for _, en := range pa.Entries {
		li.entries[en.ID] = en
	}
	for _, ep := range pa.Endpoints {
		li.endpoints[ep.ID] = ep
	}
	li.version = pa.Version
	li.vms = ml.VMs{
		Entries:   slices.SortedFunc(maps.Values(li.entries), func(a, b ml.EntryVM) int { return cmp.Compare(a.ID, b.ID) }),
		Endpoints: slices.SortedFunc(maps.Values(li.endpoints), func(a, b ml.Endpoint) int { return cmp.Compare(a.ID, b.ID) }),
	}
}
