package folder

import (
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
)

// maxHistory bounds the outcomes of changes that are kept.
const maxHistory = 100

// ChangeOutcome tells what became of a change.
type ChangeOutcome struct {
	ID              string     `json:"id"`
	Offset          ml.Offset  `json:"offset"`
	At              time.Time  `json:"at"`
	By              string     `json:"by"`
	Summary         string     `json:"summary"`
	Accepted        bool       `json:"accepted"`
	Version         ml.Version `json:"version"` // in force after it
	RejectionReason string     `json:"why,omitempty"`
}

// OutOfService is a failure domain or VM out of service.
type OutOfService struct {
	Name   string    `json:"name"`
	Reason string    `json:"reason"`
	By     string    `json:"by"`
	At     time.Time `json:"at"`
}

// Fleet is the state that operators change. It is passed between nodes and
// appended to the log as a snapshot.
type Fleet struct {
	Version       ml.Version             `json:"version"`
	AppliedOffset ml.Offset              `json:"through"` // last offset folded in
	Config        configurer.Config      `json:"config"`
	Exceptions    []configurer.Exception `json:"exceptions"`
	DomainsOut    []OutOfService         `json:"domainsOut"`
	VMsOut        []OutOfService         `json:"vmsOut"`
	History       []ChangeOutcome        `json:"history"`
}

// NewFleet returns the state before the first change.
func NewFleet() *Fleet { return &Fleet{Config: configurer.Default()} }

// DomainIsOut tells whether a failure domain is out of service.
func (fl *Fleet) DomainIsOut(id ml.DomainID) bool { return has(fl.DomainsOut, string(id)) }

// VMIsOut tells whether a VM is out of service. An endpoint's VM has the
// endpoint's id.
func (fl *Fleet) VMIsOut(id string) bool { return has(fl.VMsOut, id) }

// ChangedAt returns when the log took the change that is in force.
func (fl *Fleet) ChangedAt() time.Time {
	for _, ou := range slices.Backward(fl.History) {
		if ou.Accepted {
			return ou.At
		}
	}
	return time.Time{}
}

// Outcome returns what became of the change with an id.
func (fl *Fleet) Outcome(id string) (ChangeOutcome, bool) {
	i := slices.IndexFunc(fl.History, func(ou ChangeOutcome) bool { return ou.ID == id })
	if i < 0 {
		return ChangeOutcome{}, false
	}
	return fl.History[i], true
}

// Apply returns the state after a change. The receiver stays as it is, so
// that readers may hold on to it. A change that was folded before, under the
// same id, has no effect.
func (fl *Fleet) Apply(re ml.Record, ch Change) *Fleet {
	if re.Offset <= fl.AppliedOffset {
		return fl
	}
	next := *fl
	next.AppliedOffset = re.Offset
	if _, known := fl.Outcome(re.ID); known {
		return &next
	}
	ou := ChangeOutcome{ID: re.ID, Offset: re.Offset, At: re.Time, By: ch.By, Summary: ch.Summary(), Version: fl.Version}
	ou.RejectionReason = fl.reject(ch)
	if ou.RejectionReason == "" {
		ou.Accepted = true
		ou.Version = ml.Version(re.Offset)
		next.Version = ou.Version
		next.carryOut(re.Time, ch)
	}
	next.History = append(slices.Clone(fl.History), ou)
	if len(next.History) > maxHistory {
		next.History = next.History[len(next.History)-maxHistory:]
	}
	return &next
}

// reject returns why a change can't be accepted, or "".
func (fl *Fleet) reject(ch Change) string {
	if ch.Base != fl.Version {
		return "made against version " + itoa(ch.Base) + ", but version " + itoa(fl.Version) + " came first" + fl.lastChange()
	}
	if fs := ch.Check(); len(fs) > 0 {
		return fs.Error()
	}
	if ch.AddException != nil && len(fl.Exceptions) >= configurer.MaxExceptions && fl.exception(ch.AddException.Key()) < 0 {
		return "the list of exceptions is full"
	}
	if ch.RemoveException != "" && fl.exception(ch.RemoveException) < 0 {
		return "there is no exception " + ch.RemoveException
	}
	return ""
}

// lastChange describes the change that is in force.
func (fl *Fleet) lastChange() string {
	for _, ou := range slices.Backward(fl.History) {
		if ou.Accepted {
			return " (" + ou.Summary + ", by " + ou.By + ")"
		}
	}
	return ""
}

func (fl *Fleet) carryOut(at time.Time, ch Change) {
	switch {
	case ch.Config != nil:
		fl.Config = *ch.Config
	case ch.AddException != nil:
		ex := *ch.AddException
		ex.At, ex.By = at, ch.By
		fl.Exceptions = slices.Clone(fl.Exceptions)
		if i := fl.exception(ex.Key()); i >= 0 {
			fl.Exceptions[i] = ex
			return
		}
		fl.Exceptions = append(fl.Exceptions, ex)
	case ch.RemoveException != "":
		i := fl.exception(ch.RemoveException)
		fl.Exceptions = slices.Delete(slices.Clone(fl.Exceptions), i, i+1)
	case ch.Mark != nil && ch.Mark.Scope == "domain":
		fl.DomainsOut = mark(fl.DomainsOut, at, ch)
	case ch.Mark != nil:
		fl.VMsOut = mark(fl.VMsOut, at, ch)
	}
}

func (fl *Fleet) exception(key string) int {
	return slices.IndexFunc(fl.Exceptions, func(ex configurer.Exception) bool { return ex.Key() == key })
}

func mark(outs []OutOfService, at time.Time, ch Change) []OutOfService {
	next := slices.DeleteFunc(slices.Clone(outs), func(ou OutOfService) bool { return ou.Name == ch.Mark.Name })
	if ch.Mark.Out {
		next = append(next, OutOfService{Name: ch.Mark.Name, Reason: ch.Mark.Reason, By: ch.By, At: at})
	}
	return next
}

func has(outs []OutOfService, name string) bool {
	return slices.ContainsFunc(outs, func(ou OutOfService) bool { return ou.Name == name })
}
