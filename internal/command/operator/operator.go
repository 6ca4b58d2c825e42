// Package operator carries out operators' changes: it writes them to the
// platform's log, finds out what became of them, and waits until they are in
// force on every entry VM that can be reached.
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

// pollInterval is the time between two questions to an entry VM.
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

// Operator speaks to the platform and the entry VMs.
type Operator struct {
	Key string // admin key
	// Entry is the admin address of an entry VM that is asked for what it
	// knows where the platform does not answer; empty for none.
	Entry string
	Log   *slog.Logger

	log   ml.Log
	list  ml.VMList
	calls requester.Requester
	fold  folder.StateMachine
}

// New returns an operator for the platform at address.
func New(platform, key, entry string, lo *slog.Logger) *Operator {
	const timeout = 2 * time.Second
	client := requester.NewClient(nil, timeout, timeout)
	client.Transport = &bearer{key: key, next: client.Transport}
	return &Operator{
		Key: key, Entry: entry, Log: lo, log: appender.New(nil, platform), list: lister.New(nil, platform),
		calls: requester.Requester{Client: client, Step: "ask entry VM"},
	}
}

// bearer adds the admin key to requests.
type bearer struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (be *bearer) RoundTrip(rq *http.Request) (*http.Response, error) {
	rq = rq.Clone(rq.Context())
	if be.key != "" {
		rq.Header.Set("Authorization", "Bearer "+be.key)
	}
	return be.next.RoundTrip(rq)
}

// Known returns the operators' state from the log or, where that can't be
// read, as an entry VM knows it.
func (op *Operator) Known(ctx context.Context) (*folder.Fleet, error) {
	first, cancel := op.share(ctx)
	defer cancel()
	fl, err := op.Fleet(first)
	if err == nil || op.Entry == "" {
		return fl, err
	}
	fl = &folder.Fleet{}
	return fl, op.askInstead(ctx, err, "/admin/fleet", fl)
}

// askInstead asks an entry VM for what the platform did not answer.
func (op *Operator) askInstead(ctx context.Context, cause error, path string, out any) error {
	if err := op.Ask(ctx, op.Entry, path, out); err != nil {
		return errors.Join(cause, err)
	}
	op.Log.Warn("the platform does not answer, this is what an entry VM knows", "peer", op.Entry, "error", cause)
	return nil
}

// share returns a context for asking the platform that leaves time for asking
// an entry VM after it.
func (op *Operator) share(ctx context.Context) (context.Context, context.CancelFunc) {
	end, bounded := ctx.Deadline()
	if op.Entry == "" || !bounded {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(end)/2)
}

// Fleet reads the log to its end and returns the operators' state.
func (op *Operator) Fleet(ctx context.Context) (*folder.Fleet, error) {
	for {
		pa, err := op.log.Read(ctx, op.fold.NextOffset(), 0)
		if err != nil {
			return nil, fmt.Errorf("read configuration: %w", err)
		}
		if err := op.fold.ApplyPage(pa); err != nil {
			return nil, err
		}
		if op.fold.NextOffset() < pa.End {
			continue
		}
		if fl := op.fold.Fleet(); fl != nil {
			return fl, nil
		}
		return nil, fmt.Errorf("read configuration: the log holds no snapshot and begins at offset %d", pa.First)
	}
}

// Submit writes a change and returns what became of it. An append whose answer
// is lost is looked up by its own id before it is made again.
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
				return op.judge(ou)
			}
		}
		if ctx.Err() != nil {
			return folder.ChangeOutcome{}, fmt.Errorf("the log did not show the change in time, ask `config history` for %q before trying again: %w", rec.ID, appendErr)
		}
		pacer.Sleep(ctx, pollInterval)
	}
}

func (op *Operator) judge(ou folder.ChangeOutcome) (folder.ChangeOutcome, error) {
	if !ou.Accepted {
		return ou, &Rejected{Outcome: ou}
	}
	return ou, nil
}

// VMs returns the platform's list or, where that can't be read, the list as an
// entry VM knows it.
func (op *Operator) VMs(ctx context.Context) (ml.VMs, error) {
	first, cancel := op.share(ctx)
	defer cancel()
	vms, _, err := op.list.List(first)
	if err == nil || op.Entry == "" {
		return vms, err
	}
	return vms, op.askInstead(ctx, err, "/admin/vms", &vms)
}

// VMStatus is the status of an entry VM, or why there is none.
type VMStatus struct {
	administrator.Status
	Error string `json:"error,omitempty"`
}

// Statuses asks all listed entry VMs for their status, in the order of ids.
func (op *Operator) Statuses(ctx context.Context) ([]VMStatus, error) {
	vms, err := op.VMs(ctx)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(vms.Entries, func(a, b ml.EntryVM) int { return compare(a.ID, b.ID) })
	out := make([]VMStatus, len(vms.Entries))
	wg := sync.WaitGroup{}
	for i, en := range vms.Entries {
		wg.Go(func() {
			out[i].VM, out[i].Domain = en.ID, en.Domain
			if err := op.calls.Do(ctx, http.MethodGet, en.AdminAddress, "/admin/status", nil, &out[i].Status); err != nil {
				out[i].Error = err.Error()
			}
		})
	}
	wg.Wait()
	return out, nil
}

// Ask reads one path of an entry VM's operators' interface.
func (op *Operator) Ask(ctx context.Context, address, path string, out any) error {
	return op.calls.Do(ctx, http.MethodGet, address, path, nil, out)
}

// WaitInForce waits until every listed entry VM has the version in force. It
// returns *NotInForce when ctx ends before.
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

func compare(a, b ml.VMID) int {
	if a < b {
		return -1
	}
	return 1
}
