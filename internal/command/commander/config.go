package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/user"
	"strconv"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/command/operator"
	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/setting/loader"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
)

// operatorOptions are the options of every operators' command.
type operatorOptions struct {
	Settings string        `long:"settings" description:"settings file of any entry VM, for the platform's address and the admin key"`
	Platform string        `long:"platform" description:"host:port of the platform, instead of the settings file's"`
	Key      string        `long:"key" env:"MULBERRYLEVER_ADMIN_KEY" description:"admin key, instead of the settings file's"`
	JSON     bool          `long:"json" description:"print JSON"`
	Wait     time.Duration `long:"wait" default:"10s" description:"longest wait for the platform and for a change to be in force"`
}

// changeOptions are the options of the commands that submit a change.
type changeOptions struct {
	operatorOptions
	By   string `long:"by" env:"USER" description:"who makes the change"`
	Base string `long:"base" description:"version the change is made against; the current one when not given"`
}

func (oo operatorOptions) operator() (*operator.Operator, error) {
	platform, key, fallback := loader.Default().Platform, "", ""
	if oo.Settings != "" {
		se, err := loader.Load(oo.Settings)
		if err != nil {
			return nil, err
		}
		platform, key, fallback = se.Platform, se.AdminKey, se.AdminAddress
	}
	if oo.Platform != "" {
		platform = oo.Platform
	}
	if oo.Key != "" {
		key = oo.Key
	}
	return operator.New(platform, key, fallback, slog.New(slog.NewJSONHandler(os.Stderr, nil))), nil
}

func (oo operatorOptions) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), oo.Wait)
}

// changeResult is the output of a command that submits a change.
type changeResult struct {
	Outcome folder.ChangeOutcome `json:"outcome"`
	Base    ml.Version           `json:"base"`
	TookMs  int64                `json:"tookMs"` // until the change was in force on every entry VM
	Missing []ml.VMID            `json:"missing,omitempty"`
}

// submit writes a change against the given or current version and waits until
// it is in force on every entry VM.
func (co changeOptions) submit(change func(fl *folder.Fleet) (folder.Change, error)) error {
	op, err := co.operator()
	if err != nil {
		return err
	}
	ctx, cancel := co.context()
	defer cancel()
	start := time.Now()
	fl, err := op.Fleet(ctx)
	if err != nil {
		return err
	}
	ch, err := change(fl)
	if err != nil {
		return err
	}
	ch.By, ch.Base = co.author(), fl.Version
	if co.Base != "" {
		base, err := strconv.ParseInt(co.Base, 10, 64)
		if err != nil {
			return usageError{fmt.Errorf("--base: want a version number (got %q)", co.Base)}
		}
		ch.Base = ml.Version(base)
	}
	ou, err := op.Submit(ctx, ch)
	if err != nil {
		return err
	}
	err = op.WaitInForce(ctx, ou.Version)
	out := changeResult{Outcome: ou, Base: ch.Base, TookMs: time.Since(start).Milliseconds()}
	var no *operator.NotInForce
	if errors.As(err, &no) {
		out.Missing = no.VMs
	}
	co.print(out, func() {
		fmt.Printf("%s: version %d, made against version %d", ou.Summary, ou.Version, ch.Base)
		if err == nil {
			fmt.Printf(", in force on every entry VM after %d ms", out.TookMs)
		}
		fmt.Println()
	})
	return err
}

// author returns the name recorded with the change: --by or, when it is empty,
// the name of the system's current user.
func (co changeOptions) author() string {
	if co.By != "" {
		return co.By
	}
	if us, err := user.Current(); err == nil {
		return us.Username
	}
	return "unknown"
}

// print prints value as JSON when --json is set. Otherwise it calls plain.
func (oo operatorOptions) print(value any, plain func()) {
	if !oo.JSON {
		plain()
		return
	}
	en := json.NewEncoder(os.Stdout)
	en.SetIndent("", "  ")
	_ = en.Encode(value)
}

// withFleet calls use with the fleet state, as read from the log or from the
// entry VM of the settings file if the log can't be read.
func (oo operatorOptions) withFleet(use func(ctx context.Context, op *operator.Operator, fl *folder.Fleet) error) error {
	op, err := oo.operator()
	if err != nil {
		return err
	}
	ctx, cancel := oo.context()
	defer cancel()
	fl, err := op.FleetWithFallback(ctx)
	if err != nil {
		return err
	}
	return use(ctx, op, fl)
}

type configShowCommand struct{ operatorOptions }

// Execute prints the configuration in force.
func (cs *configShowCommand) Execute([]string) error {
	return cs.withFleet(func(_ context.Context, _ *operator.Operator, fl *folder.Fleet) error {
		out := struct {
			Version    ml.Version             `json:"version"`
			Config     configurer.Config      `json:"config"`
			Exceptions []configurer.Exception `json:"exceptions"`
		}{fl.Version, fl.Config, append([]configurer.Exception{}, fl.Exceptions...)}
		cs.JSON = true
		cs.print(out, nil)
		return nil
	})
}

type configSetCommand struct {
	changeOptions
	Args struct {
		File string `positional-arg-name:"FILE" description:"configuration file (JSON with comments)"`
	} `positional-args:"yes" required:"yes"`
}

// Execute replaces the fleet-wide defaults.
func (cs *configSetCommand) Execute([]string) error {
	data, err := os.ReadFile(cs.Args.File)
	if err != nil {
		return fmt.Errorf("read configuration file: %w", err)
	}
	cf, err := configurer.Parse(data)
	if err != nil {
		return fmt.Errorf("%s: %w", cs.Args.File, err)
	}
	return cs.submit(func(*folder.Fleet) (folder.Change, error) { return folder.Change{Config: &cf}, nil })
}

type configHistoryCommand struct{ operatorOptions }

// Execute prints the outcomes of the last changes.
func (ch *configHistoryCommand) Execute([]string) error {
	return ch.withFleet(func(_ context.Context, _ *operator.Operator, fl *folder.Fleet) error {
		ch.print(fl.History, func() {
			tw := newTable("VERSION", "ACCEPTED", "BY", "AT", "CHANGE", "WHY NOT")
			for _, ou := range fl.History {
				tw.row(strconv.FormatInt(int64(ou.Version), 10), yesNo(ou.Accepted), ou.By, ou.At.Format(time.RFC3339), ou.Summary, ou.RejectionReason)
			}
			tw.flush()
		})
		return nil
	})
}

type exceptionAddCommand struct {
	changeOptions
	Scope  string `long:"scope" required:"true" description:"team, service or objectives"`
	Name   string `long:"name" required:"true" description:"the team's or service's name; the team's for objectives"`
	Field  string `long:"field" required:"true" description:"the default to replace"`
	Value  string `long:"value" required:"true" description:"its value, as JSON"`
	Reason string `long:"reason" description:"why; required"`
}

// Execute adds or replaces an exception.
func (ea *exceptionAddCommand) Execute([]string) error {
	if !json.Valid([]byte(ea.Value)) {
		return usageError{fmt.Errorf("--value: want JSON (got %q)", ea.Value)}
	}
	ex := configurer.Exception{Scope: ea.Scope, Name: ea.Name, Field: ea.Field, Value: json.RawMessage(ea.Value), Reason: ea.Reason}
	if fs := ex.Check(); len(fs) > 0 {
		return usageError{fs}
	}
	return ea.submit(func(*folder.Fleet) (folder.Change, error) { return folder.Change{AddException: &ex}, nil })
}

type exceptionRemoveCommand struct {
	changeOptions
	Args struct {
		Key string `positional-arg-name:"SCOPE/NAME/FIELD"`
	} `positional-args:"yes" required:"yes"`
}

// Execute removes an exception.
func (er *exceptionRemoveCommand) Execute([]string) error {
	return er.submit(func(*folder.Fleet) (folder.Change, error) { return folder.Change{RemoveException: er.Args.Key}, nil })
}

type exceptionListCommand struct{ operatorOptions }

// Execute lists the exceptions.
func (el *exceptionListCommand) Execute([]string) error {
	return el.withFleet(func(_ context.Context, _ *operator.Operator, fl *folder.Fleet) error {
		el.print(fl.Exceptions, func() {
			tw := newTable("EXCEPTION", "VALUE", "BY", "SINCE", "REASON")
			for _, ex := range fl.Exceptions {
				tw.row(ex.Key(), string(ex.Value), ex.By, ex.At.Format(time.RFC3339), ex.Reason)
			}
			tw.flush()
		})
		return nil
	})
}
