// Standin runs simulated engines, services and platforms (stand-ins) for demos
// and tests, and the load tool.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/standin/batcher"
	"github.com/mulberrylever/mulberrylever/internal/standin/bookkeeper"
	"github.com/mulberrylever/mulberrylever/internal/standin/fleetreader"
	"github.com/mulberrylever/mulberrylever/internal/standin/recorder"
)

// fleetOptions are the options of commands that read a fleet file.
type fleetOptions struct {
	Fleet string `long:"fleet" required:"true" description:"fleet file (JSON with comments)"`
	Seed  uint64 `long:"seed" default:"1" description:"seed of the random choices"`
}

// listenOptions let a stand-in listen on another address than the fleet file
// lists, so that a relay can listen on the listed one.
type listenOptions struct {
	Listen string `long:"listen" description:"host:port to listen on instead of the fleet file's address"`
}

func (lo listenOptions) address(listed string) string {
	if lo.Listen != "" {
		return lo.Listen
	}
	return listed
}

type engineCommand struct {
	fleetOptions
	listenOptions
	ID ml.EndpointID `long:"id" required:"true" description:"endpoint in the fleet file"`
}

type serviceCommand struct {
	fleetOptions
	listenOptions
	ID          ml.EndpointID `long:"id" required:"true" description:"endpoint in the fleet file"`
	Latency     time.Duration `long:"latency" default:"5ms" description:"time that one call takes"`
	LoseAnswers float64       `long:"lose-answers" description:"share of answers lost after the action, 0 to 1"`
}

type platformCommand struct {
	fleetOptions
	listenOptions
}

// Execute runs the stand-in engine. The process exits with status 3 when the
// engine is overloaded while cold.
func (en *engineCommand) Execute([]string) error {
	fl, ep, err := en.endpoint(en.ID)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	lo := logger()
	ep.Address = en.address(ep.Address)
	ba := &batcher.Batcher{Fleet: fl, Endpoint: ep, Log: lo}
	ba.OnColdOverload = func(peakStreams int) {
		lo.Error("overloaded while cold", "endpoint", ep.ID, "requests", peakStreams)
		reportOverload(fl.Platform.Address, ep.ID)
		os.Exit(3)
	}
	return ba.Run(ctx)
}

// Execute runs the stand-in service.
func (se *serviceCommand) Execute([]string) error {
	_, ep, err := se.endpoint(se.ID)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	ep.Address = se.address(ep.Address)
	bo := &bookkeeper.Bookkeeper{Endpoint: ep, Log: logger(), Latency: se.Latency, ResponseLossRate: se.LoseAnswers, Seed: se.Seed}
	return bo.Run(ctx)
}

// Execute runs the stand-in platform.
func (pl *platformCommand) Execute([]string) error {
	fl, err := fleetreader.Read(pl.Fleet)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	fl.Platform.Address = pl.address(fl.Platform.Address)
	re := &recorder.Recorder{Fleet: fl, Log: logger(), Seed: pl.Seed}
	return re.Run(ctx)
}

func (fo fleetOptions) endpoint(id ml.EndpointID) (fleetreader.Fleet, ml.Endpoint, error) {
	fl, err := fleetreader.Read(fo.Fleet)
	if err != nil {
		return fl, ml.Endpoint{}, err
	}
	ep, err := fl.Endpoint(id)
	return fl, ep, err
}

// reportOverload reports the overload to the stand-in platform, which keeps the
// count after the engine's process has exited.
func reportOverload(platform string, id ml.EndpointID) {
	const reportTimeout = 300 * time.Millisecond
	cl := &http.Client{Timeout: reportTimeout}
	rs, err := cl.Post(fmt.Sprintf("http://%s/overloads?endpoint=%s", platform, id), "", http.NoBody)
	if err == nil {
		_ = rs.Body.Close()
	}
}

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

func logger() *slog.Logger { return slog.New(slog.NewJSONHandler(os.Stderr, nil)) }

func main() {
	pa := flags.NewNamedParser("standin", flags.Default)
	add(pa, "engine", "run a stand-in engine", &engineCommand{})
	add(pa, "service", "run a stand-in service", &serviceCommand{})
	add(pa, "load", "send a load and check every answer; status 4 when any request was lost", &loadCommand{})
	add(pa, "slopes", "measure how a node's state and work grow with the fleet", &slopesCommand{})
	add(pa, "compare", "check the results of the routing policies against their targets", &compareCommand{})
	add(pa, "call", "make one call with at-most-once semantics", &callCommand{})
	add(pa, "platform", "run the stand-in platform: log, list of VMs, weight store", &platformCommand{})
	add(pa, "users-platform", "run stand-ins of the users' platform and send five kinds of request; status 4 when any was not served", &usersPlatformCommand{})
	_, err := pa.Parse()
	var fe *flags.Error
	switch {
	case err == nil || (errors.As(err, &fe) && fe.Type == flags.ErrHelp):
	case errors.Is(err, errLost):
		os.Exit(4)
	case errors.As(err, &fe):
		os.Exit(2)
	default:
		os.Exit(1)
	}
}

func add(pa *flags.Parser, name, description string, command any) {
	if _, err := pa.AddCommand(name, description, description, command); err != nil {
		panic(err)
	}
}
