// Package lister is the client of the platform's list of VMs. It fetches the
// changes since the version it fetched last and holds the complete list.
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
	client  requester.Requester

	version   int64 // of the list as last fetched
	entries   map[ml.VMID]ml.EntryVM
	endpoints map[ml.EndpointID]ml.Endpoint
	vms       ml.VMs
}

// listChanges holds the changes of the list after a version.
type listChanges struct {
	Version          int64           `json:"version"`
	Full             bool            `json:"whole"` // a complete list, which replaces the one held
	Entries          []ml.EntryVM    `json:"entries"`
	Endpoints        []ml.Endpoint   `json:"endpoints"`
	RemovedEntries   []ml.VMID       `json:"goneEntries"`
	RemovedEndpoints []ml.EndpointID `json:"goneEndpoints"`
}

// New returns a client of the list at address. It connects from the given source
// address.
func New(so requester.SourceIP, address string) *Lister {
	const timeout = 3 * time.Second // each for the dial and the response headers
	return &Lister{Address: address, client: requester.Requester{Client: requester.NewClient(so, timeout, timeout), Step: "list VMs"}}
}

// List implements ml.VMList.
func (li *Lister) List(ctx context.Context) (vms ml.VMs, changed bool, err error) {
	lc := listChanges{}
	path := fmt.Sprintf("/vms?since=%d", li.version)
	if err := li.client.Do(ctx, http.MethodGet, li.Address, path, nil, &lc); err != nil {
		return ml.VMs{}, false, err
	}
	if !lc.Full && lc.Version == li.version {
		return li.vms, false, nil
	}
	li.apply(lc)
	return li.vms, true, nil
}

// apply applies fetched changes to the list.
func (li *Lister) apply(lc listChanges) {
	if lc.Full || li.entries == nil {
		li.entries, li.endpoints = make(map[ml.VMID]ml.EntryVM), make(map[ml.EndpointID]ml.Endpoint)
	}
	for _, id := range lc.RemovedEntries {
		delete(li.entries, id)
	}
	for _, id := range lc.RemovedEndpoints {
		delete(li.endpoints, id)
	}
	for _, en := range lc.Entries {
		li.entries[en.ID] = en
	}
	for _, ep := range lc.Endpoints {
		li.endpoints[ep.ID] = ep
	}
	li.version = lc.Version
	li.vms = ml.VMs{
		Entries:   slices.SortedFunc(maps.Values(li.entries), func(a, b ml.EntryVM) int { return cmp.Compare(a.ID, b.ID) }),
		Endpoints: slices.SortedFunc(maps.Values(li.endpoints), func(a, b ml.Endpoint) int { return cmp.Compare(a.ID, b.ID) }),
	}
}
