// Package verifier checks reports that engines have crashed. A connection that is refused
// proves nothing: the path may be cut while the engine lives. Other entry VMs connect to
// the engine too, and a report that one of them refutes counts no longer anywhere.
package verifier

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/attributor"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
)

const (
	// maxQueued bounds the reports that wait to be checked.
	maxQueued = 256
	// checkers is the number of checks that run at the same time.
	checkers = 4
	// connectTimeout bounds one check.
	connectTimeout = 100 * time.Millisecond
	// maxCrashAge is the age of a crash up to which a connection refutes it. Later another
	// process may listen at the address.
	maxCrashAge = time.Second
	// witnessesPerDomain is the number of entry VMs in each failure domain that check a
	// report.
	witnessesPerDomain = 2
	// dropTime is the time after a crash after which the platform's store no longer lists
	// an engine that has ended, and listedTime that after which this is checked.
	dropTime, listedTime = 5 * time.Second, 6 * time.Second
	// maxListedTime is the time after a crash up to which an entry VM that has not read the
	// store after dropTime goes on looking, each recheckInterval.
	maxListedTime, recheckInterval = time.Minute, time.Second
)

// Verifier checks reports of crashes. Its exported fields must be set before Run.
type Verifier struct {
	Exchanger  ml.Exchanger
	Catalog    *cataloger.Cataloger
	Attributor *attributor.Attributor
	// Membership returns the entry VMs of this failure domain. Nil means that there are no
	// others.
	Membership func(now time.Time) ml.Membership
	// Share tells the other entry VMs, and the platform's store, that a crash is refuted.
	Share func(now time.Time, sc ml.SharedCrash)
	Log   *slog.Logger

	unchecked chan report
	reported  chan report
	unlisted  chan report
}

// report is the report of a crash. Its ages are relative to at.
type report struct {
	ml.SharedCrash
	at time.Time
}

// New returns a verifier. Report may be called before Run.
func New() *Verifier {
	return &Verifier{unchecked: make(chan report, maxQueued), reported: make(chan report, maxQueued), unlisted: make(chan report, maxQueued)}
}

// Report queues the first report of a crash for a check. If isOwn is set it comes from this
// entry VM, which can't check it itself. It does not block.
func (ve *Verifier) Report(now time.Time, sc ml.SharedCrash, isOwn bool) {
	re := report{sc, now}
	ve.enqueue(ve.unlisted, re)
	if isOwn {
		ve.enqueue(ve.reported, re)
		return
	}
	ve.enqueue(ve.unchecked, re)
}

func (ve *Verifier) enqueue(ring chan<- report, re report) {
	select {
	case ring <- re:
	default:
		ve.Log.Warn("report of a crash not checked, too many wait", "endpoint", re.Endpoint)
	}
}

// Run checks reports until ctx ends.
func (ve *Verifier) Run(ctx context.Context) error {
	for range checkers {
		go ve.runChecks(ctx)
	}
	go ve.runListed(ctx)
	ve.runReported(ctx)
	return ctx.Err()
}

// runChecks connects to engines that other entry VMs have reported.
func (ve *Verifier) runChecks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case re := <-ve.unchecked:
			ve.check(ctx, re)
		}
	}
}

// check connects to an engine, if this entry VM is one of those that do.
func (ve *Verifier) check(ctx context.Context, re report) {
	li, found := ve.Catalog.Lookup(re.Endpoint, re.Incarnation)
	if !found || !ve.isWitness(re) || re.age(time.Now()) > maxCrashAge {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if ve.Exchanger.Connect(ctx, li.ListedEndpoint) != ml.ConnectOpened {
		return
	}
	if now := time.Now(); re.age(now) <= maxCrashAge {
		ve.refute(now, re, "connected")
	}
}

// isWitness reports whether this entry VM is one of those in its failure domain that check
// a report.
func (ve *Verifier) isWitness(re report) bool {
	if ve.Membership == nil {
		return true
	}
	view := ve.Membership(re.at)
	rank := func(address string) uint64 {
		return xxhash.Sum64String(address + " " + string(re.Endpoint) + " " + string(re.Incarnation))
	}
	self, before := rank(view.Self), 0
	for _, peer := range view.Peers {
		if cmp.Less(rank(peer), self) {
			before++
		}
	}
	return before < witnessesPerDomain
}

// refute withdraws a crash here and at the other entry VMs.
func (ve *Verifier) refute(now time.Time, re report, evidence string) {
	sc := ml.SharedCrash{Endpoint: re.Endpoint, Incarnation: re.Incarnation, IsRefuted: true, AgeMs: re.age(now).Milliseconds()}
	ve.Log.Info("crash refuted", "endpoint", sc.Endpoint, "incarnation", sc.Incarnation, "ageMs", sc.AgeMs, "evidence", evidence)
	ve.Attributor.RecordCrash(now, sc)
	ve.Share(now, sc)
}

// runReported logs the crashes that this entry VM has reported once the others have had the
// time to refute them.
func (ve *Verifier) runReported(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case re := <-ve.reported:
			pacer.Sleep(ctx, attributor.GatherTime-re.age(time.Now()))
			if !ve.Attributor.IsRefuted(re.Endpoint, re.Incarnation, re.At(re.at)) {
				ve.Log.Info("crash", "endpoint", re.Endpoint, "incarnation", re.Incarnation, "parts", re.Parts)
			}
		}
	}
}

// runListed refutes crashes of engines that the platform's store still lists when it no
// longer would, if they had ended.
func (ve *Verifier) runListed(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case re := <-ve.unlisted:
			pacer.Sleep(ctx, listedTime-re.age(time.Now()))
			ve.checkListed(ctx, re)
		}
	}
}

// checkListed refutes a crash if the store still lists the engine. If this entry VM has not
// read the store since, it looks again later.
func (ve *Verifier) checkListed(ctx context.Context, re report) {
	now := time.Now()
	listed, known := ve.Catalog.ListedAfter(re.At(re.at).Add(dropTime), re.Endpoint, re.Incarnation)
	switch {
	case !listed || ve.Attributor.IsRefuted(re.Endpoint, re.Incarnation, re.At(re.at)):
	case known:
		ve.refute(now, re, "listed")
	case re.age(now) < maxListedTime:
		pacer.Sleep(ctx, recheckInterval)
		ve.enqueue(ve.unlisted, re)
	}
}

// age returns the time since the crash.
func (re *report) age(now time.Time) time.Duration {
	return now.Sub(re.At(re.at))
}
