// Package operator is the client side of the operators' commands. It appends
// changes to the platform's log, looks up their outcomes, and waits until they
// are in force on every listed entry VM.
package operator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/administrator"
	"github.com/mulberrylever/mulberrylever/internal/adapter/appender"
	"github.com/mulberrylever/mulberrylever/internal/adapter/lister"
	"github.com/mulberrylever/mulberrylever/internal/adapter/requester"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
)

// pollInterval is the time between two polls of the log or of the entry VMs.
const pollInterval = 100 * time.Millisecond

// Rejected is the error for a change that was not accepted.
type Rejected struct {
	Outcome folder.ChangeOutcome
}

// Error implements the error interface.
func (re *Rejected) Error() string {
	return fmt.Sprintf("the change was not accepted: %s; nothing has changed, look at the configuration and try again", re.Outcome.RejectionReason)
}

// NotInForce is the error for an accepted change that is not in force on
// every entry VM yet.
type NotInForce struct {
	Version ml.Version
	VMs     []ml.VMID
}

// Error implements the error interface.
func (no *NotInForce) Error() string {
	return fmt.Sprintf("version %d is accepted, but not yet known to be in force on: %v", no.Version, no.VMs)
}

// Operator calls the platform and the admin interfaces of the entry VMs.
type Operator struct {
	Key string // admin key
	// FallbackAddress is the admin address of an entry VM that is queried when the
	// platform does not answer. Empty means none.
	FallbackAddress string
	Log             *slog.Logger

	log         ml.Log
	list        ml.VMList
	adminClient requester.Requester
	state       folder.StateMachine
}

// New returns an operator for the platform at the address platform. See Operator
// for key and fallback.
func New(platform, key, fallback string, lo *slog.Logger) *Operator {
	const callTimeout = 2 * time.Second
	client := requester.NewClient(nil, callTimeout, callTimeout)
	client.Transport = &bearerTransport{key: key, next: client.Transport}
	return &Operator{
		Key: key, FallbackAddress: fallback, Log: lo, log: appender.New(nil, platform), list: lister.New(nil, platform),
		adminClient: requester.Requester{Client: client, Step: "ask entry VM"},
	}
}

// bearerTransport adds the admin key to requests.
type bearerTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (bt *bearerTransport) RoundTrip(rq *http.Request) (*http.Response, error) {
	rq = rq.Clone(rq.Context())
	if bt.key != "" {
		rq.Header.Set("Authorization", "Bearer "+bt.key)
	}
	return bt.next.RoundTrip(rq)
}

// FleetWithFallback returns the fleet state from the log. If the log can't be
// read, it returns the state that the fallback entry VM has.
func (op *Operator) FleetWithFallback(ctx context.Context) (*folder.Fleet, error) {
	primary, cancel := op.primaryContext(ctx)
	defer cancel()
	fl, err := op.Fleet(primary)
	if err == nil || op.FallbackAddress == "" {
		return fl, err
	}
	fl = &folder.Fleet{}
	return fl, op.getFallback(ctx, err, "/admin/fleet", fl)
}

// getFallback reads path from the fallback entry VM after the platform failed
// with cause.
func (op *Operator) getFallback(ctx context.Context, cause error, path string, out any) error {
	if err := op.GetAdmin(ctx, op.FallbackAddress, path, out); err != nil {
		return errors.Join(cause, err)
	}
	op.Log.Warn("the platform does not answer, this is what an entry VM knows", "peer", op.FallbackAddress, "error", cause)
	return nil
}

// primaryContext returns a context for calls to the platform. It ends after half
// of the remaining time, so that the fallback entry VM can still be queried.
func (op *Operator) primaryContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, bounded := ctx.Deadline()
	if op.FallbackAddress == "" || !bounded {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

// Fleet reads the log to its end and returns the fleet state.
func (op *Operator) Fleet(ctx context.Context) (*folder.Fleet, error) {
	for {
		pa, err := op.log.Read(ctx, op.state.NextOffset(), 0)
		if err != nil {
			return nil, fmt.Errorf("read configuration: %w", err)
		}
		if err := op.state.ApplyPage(pa); err != nil {
			return nil, err
		}
		if op.state.NextOffset() < pa.End {
			continue
		}
		if fl := op.state.Fleet(); fl != nil {
			return fl, nil
		}
		return nil, fmt.Errorf("read configuration: the log holds no snapshot and begins at offset %d", pa.First)
	}
}

// Submit appends a change to the log and returns its outcome. When the answer to
// an append is lost, the change is looked up by its id before it is appended
// again.
func (op *Operator) Submit(ctx context.Context, ch folder.Change) (folder.ChangeOutcome, error) {
	if fs := ch.Check(); len(fs) > 0 {
		return folder.ChangeOutcome{}, fs
	}
	rec, err := folder.NewRecord("change/"+uuid.NewString(), folder.KindChange, ch)
	if err != nil {
		return folder.ChangeOutcome{}, err
	}
	for {
		_, appendErr := op.log.Append(ctx, []ml.Record{rec})
		fl, err := op.Fleet(ctx)
		if err == nil {
			if ou, found := fl.Outcome(rec.ID); found {
				return op.checkAccepted(ou)
			}
		}
		if ctx.Err() != nil {
			return folder.ChangeOutcome{}, fmt.Errorf("the change did not appear in the log in time, look for %q in `config history` before trying again: %w", rec.ID, appendErr)
		}
		pacer.Sleep(ctx, pollInterval)
	}
}

// checkAccepted returns *Rejected for a change that was not accepted.
func (op *Operator) checkAccepted(ou folder.ChangeOutcome) (folder.ChangeOutcome, error) {
	if !ou.Accepted {
		return ou, &Rejected{Outcome: ou}
	}
	return ou, nil
}

// VMs returns the platform's list of VMs. If it can't be read, VMs returns the
// list that the fallback entry VM has.
func (op *Operator) VMs(ctx context.Context) (ml.VMs, error) {
	primary, cancel := op.primaryContext(ctx)
	defer cancel()
	vms, _, err := op.list.List(primary)
	if err == nil || op.FallbackAddress == "" {
		return vms, err
	}
	return vms, op.getFallback(ctx, err, "/admin/vms", &vms)
}

// VMStatus is the status of an entry VM, or the error of the call for it.
type VMStatus struct {
	administrator.Status
	Error string `json:"error,omitempty"`
}

// Statuses returns the status of every listed entry VM, sorted by id.
func (op *Operator) Statuses(ctx context.Context) ([]VMStatus, error) {
	vms, err := op.VMs(ctx)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(vms.Entries, func(a, b ml.EntryVM) int { return compareVMIDs(a.ID, b.ID) })
	out := make([]VMStatus, len(vms.Entries))
	wg := sync.WaitGroup{}
	for i, en := range vms.Entries {
		wg.Go(func() {
			out[i].VM, out[i].Domain = en.ID, en.Domain
			if err := op.adminClient.Do(ctx, http.MethodGet, en.AdminAddress, "/admin/status", nil, &out[i].Status); err != nil {
				out[i].Error = err.Error()
			}
		})
	}
	wg.Wait()
	return out, nil
}

// GetAdmin reads one path of an entry VM's admin interface.
func (op *Operator) GetAdmin(ctx context.Context, address, path string, out any) error {
	return op.adminClient.Do(ctx, http.MethodGet, address, path, nil, out)
}

// WaitInForce waits until the version is in force on every listed entry VM. It
// returns *NotInForce when ctx ends first.
func (op *Operator) WaitInForce(ctx context.Context, ve ml.Version) error {
	missing := []ml.VMID{"(the list of VMs can't be read)"}
	for {
		if sts, err := op.Statuses(ctx); err == nil {
			missing = missing[:0]
			for _, st := range sts {
				if st.Error != "" || st.Version < ve {
					missing = append(missing, st.VM)
				}
			}
			if len(missing) == 0 {
				return nil
			}
		}
		if ctx.Err() != nil {
			return &NotInForce{Version: ve, VMs: missing}
		}
		pacer.Sleep(ctx, pollInterval)
	}
}

func compareVMIDs(a, b ml.VMID) int {
	if a < b {
		return -1
	}
	return 1
}
