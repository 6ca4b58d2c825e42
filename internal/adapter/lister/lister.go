// Package lister reaches the platform's list of VMs.
package lister

import (
	"context"
	"net/http"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/requester"
)

// Lister implements ml.VMList.
type Lister struct {
	Address string // host:port
	calls   requester.Requester
}

// New returns the client of the list at address.
func New(so requester.Source, address string) *Lister {
	const timeout = 3 * time.Second
	return &Lister{Address: address, calls: requester.Requester{Client: requester.NewClient(so, timeout, timeout), Step: "list VMs"}}
}

// List implements ml.VMList.
func (li *Lister) List(ctx context.Context) (ml.VMs, error) {
	vms := ml.VMs{}
	err := li.calls.Do(ctx, http.MethodGet, li.Address, "/vms", nil, &vms)
	return vms, err
}
