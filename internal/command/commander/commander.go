// Package commander parses the command line and runs the selected command of
// mulberrylever.
package commander

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/mulberrylever/mulberrylever/internal/command/operator"
	"github.com/mulberrylever/mulberrylever/internal/command/server"
	"github.com/mulberrylever/mulberrylever/internal/setting/loader"
	"github.com/mulberrylever/mulberrylever/platform"
)

// The exit codes.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
	// exitNotInForce: the change is accepted, but not in force on every entry VM yet.
	exitNotInForce = 3
	// exitRejected: another change came first, or the change is not allowed.
	exitRejected = 4
)

// Commander runs commands.
type Commander struct {
	Release string
}

// New returns a commander that reports release as its version.
func New(release string) *Commander { return &Commander{Release: release} }

// Run runs the command named by args and returns the exit code.
func (co *Commander) Run(args []string) int {
	pa := flags.NewNamedParser("mulberrylever", flags.HelpFlag|flags.PassDoubleDash)
	co.addCommands(pa)
	_, err := pa.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	var fe *flags.Error
	switch {
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(err)
		return exitOK
	case errors.As(err, &fe):
		fmt.Fprintf(os.Stderr, "mulberrylever: %v\nmulberrylever: try --help\n", err)
		return exitUsage
	}
	fmt.Fprintf(os.Stderr, "mulberrylever: %v\n", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var ue usageError
	var no *operator.NotInForce
	var re *operator.Rejected
	switch {
	case errors.As(err, &ue):
		return exitUsage
	case errors.As(err, &no):
		return exitNotInForce
	case errors.As(err, &re):
		return exitRejected
	}
	return exitError
}

func (co *Commander) addCommands(pa *flags.Parser) {
	add(pa.Command, "serve", "run an entry VM's process", &serveCommand{release: co.Release})
	add(pa.Command, "front", "run an entry VM's process on the users' platform", &frontCommand{release: co.Release})
	add(pa.Command, "check", "check a settings or configuration file", &checkCommand{})
	config := add(pa.Command, "config", "show and change the fleet-wide configuration", &struct{}{})
	add(config, "show", "print the configuration in force", &configShowCommand{})
	add(config, "set", "replace the fleet-wide defaults", &configSetCommand{})
	add(config, "history", "print the outcomes of the last changes", &configHistoryCommand{})
	exception := add(pa.Command, "exception", "show and change the exceptions", &struct{}{})
	add(exception, "add", "add or replace an exception", &exceptionAddCommand{})
	add(exception, "remove", "remove an exception", &exceptionRemoveCommand{})
	add(exception, "list", "list the exceptions", &exceptionListCommand{})
	for _, scope := range []string{"domain", "vm"} {
		group := add(pa.Command, scope, "take a "+scope+" out of service and back", &struct{}{})
		add(group, "out", "take a "+scope+" out of service", &maintenanceCommand{scope: scope, out: true})
		add(group, "in", "take a "+scope+" back into service", &maintenanceCommand{scope: scope})
		add(group, "list", "list every "+scope, &inventoryCommand{scope: scope})
	}
	add(pa.Command, "report", "print the report on service-level burn", &reportCommand{})
	add(pa.Command, "status", "print the status of every entry VM", &statusCommand{})
	add(pa.Command, "explain", "print the history of one request from log files", &explainCommand{})
	add(pa.Command, "where", "explain where a request would go now, without sending it", &whereCommand{})
	add(pa.Command, "version", "print the release", &versionCommand{release: co.Release})
}

func add(to *flags.Command, name, description string, command any) *flags.Command {
	cm, err := to.AddCommand(name, description, description, command)
	if err != nil {
		panic(err)
	}
	return cm
}

type serveCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file (JSON with comments)"`
	release  string
}

// Execute runs the entry VM's process.
func (se *serveCommand) Execute([]string) error {
	ss, err := loader.Load(se.Settings)
	if err != nil {
		return err
	}
	lo := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: parseLogLevel(ss.LogLevel)})).With("vm", ss.VM)
	sv := &server.Server{Settings: ss, Release: se.release, Log: lo}
	return sv.Run(context.Background())
}

type frontCommand struct {
	MetricsPort int    `long:"metrics-port" default:"0" description:"port of the metrics; 0 for none"`
	LogLevel    string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level of what is logged"`
	release     string

	HedgePercent float64 `long:"hedge-percent" default:"0" description:"second copies of slow calls that may be repeated, as a share of the requests in percent; 0 for none"`
}

// maxHedgePercent bounds the share of requests that are sent twice: beyond it the second copies make
// endpoints slow themselves.
const maxHedgePercent = 20

// Execute runs the entry VM's process with the settings that the users'
// platform provides.
func (fr *frontCommand) Execute([]string) error {
	if fr.HedgePercent < 0 || fr.HedgePercent > maxHedgePercent {
		return fmt.Errorf("--hedge-percent: must be from 0 to %d (got %g)", maxHedgePercent, fr.HedgePercent)
	}
	ss, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	sv := &platform.Server{HedgePercent: fr.HedgePercent, Settings: ss, Release: fr.release, MetricsPort: fr.MetricsPort, LogLevel: parseLogLevel(fr.LogLevel)}
	return sv.Run(context.Background())
}

type versionCommand struct {
	release string
}

// Execute prints the release.
func (ve *versionCommand) Execute([]string) error {
	fmt.Println("mulberrylever", ve.release)
	return nil
}

func parseLogLevel(name string) slog.Level {
	le := slog.LevelInfo
	_ = le.UnmarshalText([]byte(name))
	return le
}
