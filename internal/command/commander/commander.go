// Package commander reads the command line and runs the command that it
// names.
package commander

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/mulberrylever/mulberrylever/internal/command/server"
	"github.com/mulberrylever/mulberrylever/internal/setting/loader"
)

// The exit codes.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// Commander runs commands.
type Commander struct {
	Release string
}

// New returns the commander of a release.
func New(release string) *Commander { return &Commander{Release: release} }

// Run runs the command that args name and returns the exit code.
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
	return exitError
}

func (co *Commander) addCommands(pa *flags.Parser) {
	add(pa.Command, "serve", "run an entry VM's process", &serveCommand{release: co.Release})
	add(pa.Command, "version", "print the release", &versionCommand{release: co.Release})
}

func add(to *flags.Command, name, what string, command any) *flags.Command {
	cm, err := to.AddCommand(name, what, what, command)
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
	lo := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level(ss.LogLevel)})).With("vm", ss.VM)
	sv := &server.Server{Settings: ss, Release: se.release, Log: lo}
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

func level(name string) slog.Level {
	le := slog.LevelInfo
	_ = le.UnmarshalText([]byte(name))
	return le
}
