package folder

import (
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
)

// maxHistory bounds the number of outcomes in Fleet.History.
const maxHistory = 100

// ChangeOutcome records whether a change was accepted.
type ChangeOutcome struct {
	ID       string     `json:"id"`
	Offset   ml.Offset  `json:"offset"`
	At       time.Time  `json:"at"`
	By       string     `json:"by"`
	Summary  string     `json:"summary"`
	Accepted bool       `json:"accepted"`
	Version  ml.Version `json:"version"` // in force after the change

	// RejectionReason is empty for an accepted change.
	RejectionReason string `json:"why,omitempty"`
}

// OutOfService records that a failure domain or VM is out of service.
type OutOfService struct {
	Name   string    `json:"name"`
	Reason string    `json:"reason"`
	By     string    `json:"by"`
	At     time.Time `json:"at"`
}

// Fleet is the state that operators change. Entry VMs send it to each other
// and append it to the log as a snapshot.
type Fleet struct {
	Version       ml.Version             `json:"version"`
	AppliedOffset ml.Offset              `json:"through"` // newest offset that is part of the state
	Config        configurer.Config      `json:"config"`
	Exceptions    []configurer.Exception `json:"exceptions"`
	DomainsOut    []OutOfService         `json:"domainsOut"`
	VMsOut        []OutOfService         `json:"vmsOut"`
	History       []ChangeOutcome        `json:"history"`
}

// NewFleet returns the state before any change.
func NewFleet() *Fleet { return &Fleet{Config: configurer.Default()} }

// DomainIsOut reports whether a failure domain is out of service.
func (fl *Fleet) DomainIsOut(id ml.DomainID) bool { return contains(fl.DomainsOut, string(id)) }

// VMIsOut reports whether a VM is out of service. The VM of an endpoint has
// the endpoint's id.
func (fl *Fleet) VMIsOut(id string) bool { return contains(fl.VMsOut, id) }

// ChangedAt returns when the log accepted the change that is in force.
func (fl *Fleet) ChangedAt() time.Time {
	for _, ou := range slices.Backward(fl.History) {
		if ou.Accepted {
			return ou.At
		}
	}
	return time.Time{}
}

// Outcome returns the outcome of the change with an id.
func (fl *Fleet) Outcome(id string) (ChangeOutcome, bool) {
	i := slices.IndexFunc(fl.History, func(ou ChangeOutcome) bool { return ou.ID == id })
	if i < 0 {
		return ChangeOutcome{}, false
	}
	return fl.History[i], true
}

// Apply returns the state after a change. The receiver is not modified, so
// that readers may keep it. A change whose id was applied before has no effect.
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
	ou.RejectionReason = fl.rejectionReason(ch)
	if ou.RejectionReason == "" {
		ou.Accepted = true
		ou.Version = ml.Version(re.Offset)
		next.Version = ou.Version
		next.applyChange(re.Time, ch)
	}
	next.History = append(slices.Clone(fl.History), ou)
	if len(next.History) > maxHistory {
		next.History = next.History[len(next.History)-maxHistory:]
	}
	return &next
}

// rejectionReason returns why a change can't be accepted, or "".
func (fl *Fleet) rejectionReason(ch Change) string {
	if ch.Base != fl.Version {
		return "made against version " + itoa(ch.Base) + ", but version " + itoa(fl.Version) + " came first" + fl.describeLastChange()
	}
	if fs := ch.Check(); len(fs) > 0 {
		return fs.Error()
	}
	if ch.AddException != nil && len(fl.Exceptions) >= configurer.MaxExceptions && fl.exceptionIndex(ch.AddException.Key()) < 0 {
		return "the list of exceptions is full"
	}
	if ch.RemoveException != "" && fl.exceptionIndex(ch.RemoveException) < 0 {
		return "there is no exception " + ch.RemoveException
	}
	return ""
}

// describeLastChange describes the change that is in force.
func (fl *Fleet) describeLastChange() string {
	for _, ou := range slices.Backward(fl.History) {
		if ou.Accepted {
			return " (" + ou.Summary + ", by " + ou.By + ")"
		}
	}
	return ""
}

func (fl *Fleet) applyChange(at time.Time, ch Change) {
	switch {
	case ch.Config != nil:
		fl.Config = *ch.Config
	case ch.AddException != nil:
		ex := *ch.AddException
		ex.At, ex.By = at, ch.By
		fl.Exceptions = slices.Clone(fl.Exceptions)
		if i := fl.exceptionIndex(ex.Key()); i >= 0 {
			fl.Exceptions[i] = ex
			return
		}
		fl.Exceptions = append(fl.Exceptions, ex)
	case ch.RemoveException != "":
		i := fl.exceptionIndex(ch.RemoveException)
		fl.Exceptions = slices.Delete(slices.Clone(fl.Exceptions), i, i+1)
	case ch.Mark != nil && ch.Mark.Scope == "domain":
		fl.DomainsOut = applyMark(fl.DomainsOut, at, ch)
	case ch.Mark != nil:
		fl.VMsOut = applyMark(fl.VMsOut, at, ch)
	}
}

// exceptionIndex returns the index of an exception, or -1.
func (fl *Fleet) exceptionIndex(key string) int {
	return slices.IndexFunc(fl.Exceptions, func(ex configurer.Exception) bool { return ex.Key() == key })
}

// applyMark returns a copy of outs with the mark applied.
func applyMark(outs []OutOfService, at time.Time, ch Change) []OutOfService {
	next := slices.DeleteFunc(slices.Clone(outs), func(ou OutOfService) bool { return ou.Name == ch.Mark.Name })
	if ch.Mark.Out {
		next = append(next, OutOfService{Name: ch.Mark.Name, Reason: ch.Mark.Reason, By: ch.By, At: at})
	}
	return next
}

func contains(outs []OutOfService, name string) bool {
	return slices.ContainsFunc(outs, func(ou OutOfService) bool { return ou.Name == name })
}
