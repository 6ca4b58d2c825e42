// Package server runs the process of one entry VM. It creates and connects the
// process's components, serves the caller, peer and admin ports, and shuts down
// gracefully on SIGTERM or SIGINT.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"golang.org/x/net/netutil"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/administrator"
	"github.com/mulberrylever/mulberrylever/internal/adapter/appender"
	"github.com/mulberrylever/mulberrylever/internal/adapter/invoker"
	"github.com/mulberrylever/mulberrylever/internal/adapter/lister"
	"github.com/mulberrylever/mulberrylever/internal/adapter/messenger"
	"github.com/mulberrylever/mulberrylever/internal/adapter/receiver"
	"github.com/mulberrylever/mulberrylever/internal/adapter/requester"
	"github.com/mulberrylever/mulberrylever/internal/adapter/streamer"
	"github.com/mulberrylever/mulberrylever/internal/decision/admitter"
	"github.com/mulberrylever/mulberrylever/internal/decision/router"
	"github.com/mulberrylever/mulberrylever/internal/duty/claimer"
	"github.com/mulberrylever/mulberrylever/internal/duty/dispatcher"
	"github.com/mulberrylever/mulberrylever/internal/duty/follower"
	"github.com/mulberrylever/mulberrylever/internal/duty/gossiper"
	"github.com/mulberrylever/mulberrylever/internal/duty/holder"
	"github.com/mulberrylever/mulberrylever/internal/duty/owner"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
	"github.com/mulberrylever/mulberrylever/internal/duty/planner"
	"github.com/mulberrylever/mulberrylever/internal/duty/watcher"
	"github.com/mulberrylever/mulberrylever/internal/duty/writer"
	"github.com/mulberrylever/mulberrylever/internal/setting/loader"
	"github.com/mulberrylever/mulberrylever/internal/state/auditor"
	"github.com/mulberrylever/mulberrylever/internal/state/burner"
	"github.com/mulberrylever/mulberrylever/internal/state/keeper"
	"github.com/mulberrylever/mulberrylever/internal/state/mutator"
)

// Server runs one entry VM's process.
type Server struct {
	Settings loader.Settings
	Release  string
	Log      *slog.Logger

	leaving    atomic.Bool
	keeper     *keeper.Keeper
	auditor    *auditor.Auditor
	follower   *follower.Follower
	writer     *writer.Writer
	watcher    *watcher.Watcher
	gossiper   *gossiper.Gossiper
	owner      *owner.Owner
	holder     *holder.Holder
	planner    *planner.Planner
	dispatcher *dispatcher.Dispatcher
	admitter   *admitter.Admitter
	peers      *messenger.Messenger
	receiver   *receiver.Receiver
	observer   observer

	started         time.Time
	shutdownCallers func(context.Context) error
	drained         chan struct{} // closed after the shutdown of the caller server
}

// String returns the name used in logs and errors.
func (se *Server) String() string { return "server" }

// listeners holds the listeners of the three ports.
type listeners struct {
	caller, peer, admin net.Listener
}

// Run serves until SIGTERM or SIGINT, then completes the requests in flight and
// returns.
func (se *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := se.assemble(ctx); err != nil {
		return fmt.Errorf("assemble: %w", err)
	}
	li, err := se.listen()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	gr := run.Group{}
	for _, loop := range se.loops() {
		ctx, cancel := context.WithCancel(ctx)
		gr.Add(func() error { return loop(ctx) }, func(error) { cancel() })
	}
	se.addServers(&gr, li)
	gr.Add(func() error { return se.waitForStop(ctx) }, func(error) { cancel() })
	err = gr.Run()
	se.peers.Close()
	if err != nil && !errors.Is(err, errStopped) {
		return fmt.Errorf("run: %w", err)
	}
	se.Log.Info("stopped")
	return nil
}

// errStopped marks a graceful stop.
var errStopped = errors.New("stopped")

// assemble creates the components and connects them.
func (se *Server) assemble(ctx context.Context) error {
	ss, ti := se.Settings, ml.DefaultTiming()
	se.drained = make(chan struct{})
	se.started = time.Now()
	clock := ml.Clock{StartedAt: se.started}
	peerTLS, err := peerTLS(ss.PeerTLS)
	if err != nil {
		return fmt.Errorf("peer TLS: %w", err)
	}
	source := requester.SourceIP(net.ParseIP(ss.OutgoingIP))
	self := ml.EntryVM{ID: ss.VM, Domain: ss.Domain, Cell: ss.Cell, PeerAddress: ss.PeerAdvertise, AdminAddress: ss.AdminAddress, State: ml.StateLive}
	se.auditor = &auditor.Auditor{Log: se.Log, ExitOnViolation: ss.FatalViolations}
	se.keeper = &keeper.Keeper{Auditor: se.auditor}
	se.observer = observer{keeper: se.keeper, burner: &burner.Burner{}, domain: ss.Domain}
	se.keeper.OnChangeApplied = se.observer.observeChangeApplied
	log := appender.New(source, ss.Platform)
	se.peers = &messenger.Messenger{TLS: peerTLS, Source: source}
	se.follower = follower.New(log, se.keeper, se.Log)
	se.writer = writer.New(log, se.Log)
	se.watcher = &watcher.Watcher{
		List: lister.New(source, ss.Platform), Peers: se.peers, Keeper: se.keeper, Neighbours: ss.Neighbours,
		Adopt: se.follower.InstallSnapshot, Log: se.Log,
	}
	co := se.keeper.View().Config.Routing
	table := router.NewTable(ss.Domain, router.PolicyByName(co.Policy), co.SampleSize, uint64(time.Now().UnixNano()))
	table.Self = ss.VM
	se.gossiper = gossiper.New(self, ti, table)
	se.gossiper.Clock = clock
	se.gossiper.Peers, se.gossiper.Keeper, se.gossiper.Log = se.peers, se.keeper, se.Log
	se.gossiper.Adopt, se.gossiper.Leaving = se.follower.InstallSnapshot, se.leaving.Load
	engine := streamer.New(source)
	se.owner = &owner.Owner{
		Self: ss.VM, Timing: ti, Clock: clock, Engine: engine, Membership: se.gossiper, Keeper: se.keeper, Auditor: se.auditor, Log: se.Log,
	}
	se.gossiper.Loads = se.owner.Loads
	se.holder = holder.New(ctx, ss.VM, ti)
	se.holder.Peers, se.holder.Directory, se.holder.Owner, se.holder.Log = se.peers, se.gossiper, se.owner, se.Log
	se.dispatcher = &dispatcher.Dispatcher{
		Self: ss.VM, Engine: engine, Service: invoker.New(source), Holder: se.holder, Routes: se.gossiper,
		Keeper: se.keeper, Auditor: se.auditor, Log: se.Log,
	}
	se.planner = &planner.Planner{
		Self: self, Keeper: se.keeper, Follower: se.follower, Writer: se.writer, Routes: se.gossiper,
		Holder: se.holder, Engine: engine, Log: se.Log,
	}
	se.admitter = &admitter.Admitter{MaxBytes: ss.Limits.MaxInFlightBytes}
	se.receiver = &receiver.Receiver{
		Settings: ss, Keeper: se.keeper, Admitter: se.admitter, Dispatcher: se.dispatcher,
		Claimer: &claimer.Claimer{Self: ss.VM, Follower: se.follower, Writer: se.writer, Auditor: se.auditor, Log: se.Log},
		Auditor: se.auditor, Models: se.models, Observer: se.observer, Log: se.Log,
	}
	return nil
}

// loops returns the background loops of the process.
func (se *Server) loops() []func(context.Context) error {
	return []func(context.Context) error{
		se.follower.Run, se.writer.Run, se.watcher.Run, se.gossiper.Run, se.owner.Run, se.holder.Run, se.planner.Run, se.runSnapshots,
	}
}

// runSnapshots appends a snapshot of the fleet state whenever one is due.
func (se *Server) runSnapshots(ctx context.Context) error {
	return pacer.Every(ctx, time.Second, func(now time.Time) {
		if rec, due := se.follower.DueSnapshot(now); due {
			const enqueueTimeout = time.Minute
			enqueueCtx, cancel := context.WithTimeout(ctx, enqueueTimeout)
			context.AfterFunc(enqueueCtx, cancel)
			se.writer.Enqueue(enqueueCtx, rec)
		}
	})
}

func (se *Server) listen() (listeners, error) {
	li := listeners{}
	var err error
	if li.caller, err = net.Listen("tcp", se.Settings.CallerAddress); err != nil {
		return li, fmt.Errorf("caller address: %w", err)
	}
	if li.peer, err = net.Listen("tcp", se.Settings.PeerAddress); err != nil {
		return li, fmt.Errorf("peer address: %w", err)
	}
	if li.admin, err = net.Listen("tcp", se.Settings.AdminAddress); err != nil {
		return li, fmt.Errorf("admin address: %w", err)
	}
	li.caller = netutil.LimitListener(li.caller, se.Settings.Limits.MaxConnections)
	if se.peers.TLS != nil {
		li.peer = tls.NewListener(li.peer, se.peers.TLS)
	}
	return li, nil
}

// addServers adds the caller, peer and admin servers. waitForStop shuts down
// the caller server gracefully.
func (se *Server) addServers(gr *run.Group, li listeners) {
	callers := &http.Server{
		Handler: se.receiver.Handler(), MaxHeaderBytes: se.Settings.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute,
	}
	se.shutdownCallers = callers.Shutdown
	tl := se.Settings.CallerTLS
	gr.Add(func() error {
		var err error
		if tl.CertFile != "" {
			err = callers.ServeTLS(li.caller, tl.CertFile, tl.KeyFile)
		} else {
			err = callers.Serve(li.caller)
		}
		if errors.Is(err, http.ErrServerClosed) {
			<-se.drained
			return errStopped
		}
		return fmt.Errorf("serve callers: %w", err)
	}, func(error) { _ = callers.Close() })
	peers := &messenger.Server{PeerHandler: peerHandler{se}}
	gr.Add(func() error { return peers.Serve(li.peer) }, func(error) { _ = li.peer.Close() })
	ad := &administrator.Administrator{Key: se.Settings.AdminKey, Status: se.status, NotReadyReason: se.notReadyReason, Fleet: se.fleet, VMs: se.keeper.VMs, BurnRates: se.burnSnapshot}
	admin := &http.Server{Handler: ad.Handler(), ReadHeaderTimeout: 10 * time.Second}
	gr.Add(func() error { return admin.Serve(li.admin) }, func(error) { _ = admin.Close() })
}

// waitForStop waits for a signal and then stops gracefully. The VM reports not
// ready and releases its ownership of endpoints at once. After the drain time it
// accepts no new requests or connections and completes the requests in flight.
func (se *Server) waitForStop(ctx context.Context) error {
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(sig)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-sig:
	}
	se.Log.Info("stopping", "inFlight", se.admitter.InFlight())
	se.leaving.Store(true)
	pacer.Sleep(ctx, time.Duration(se.Settings.Limits.DrainMs)*time.Millisecond)
	se.admitter.Close()
	if mutator.Disabled(mutator.Drain) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		cancel()
	}
	err := se.shutdownCallers(ctx)
	close(se.drained)
	_ = se.auditor.Check(auditor.GracefulStop, err == nil && se.admitter.InFlight() == 0,
		"stopped with %d requests in flight: %v", se.admitter.InFlight(), err)
	return errStopped
}
