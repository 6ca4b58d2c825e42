package commander

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/mulberrylever/mulberrylever/internal/command/checker"
)

// usageError marks a wrong use of a command.
type usageError struct{ error }

// Unwrap returns the cause.
func (ue usageError) Unwrap() error { return ue.error }

// errNotReady makes status fail when an entry VM is not ready.
var errNotReady = errors.New("an entry VM is not ready")

type statusCommand struct{ operatorOptions }

// Execute prints the status of every entry VM.
func (st *statusCommand) Execute([]string) error {
	op, err := st.operator()
	if err != nil {
		return err
	}
	ctx, cancel := st.context()
	defer cancel()
	sts, err := op.Statuses(ctx)
	if err != nil {
		return err
	}
	st.print(sts, func() {
		tw := newTable("VM", "DOMAIN", "READY", "VERSION", "LOG", "IN FLIGHT", "OWNS", "SEES", "NOTE")
		for _, vs := range sts {
			note := strings.Join(append([]string{vs.NotReadyReason, vs.Error}, vs.Alerts...), " ")
			tw.row(string(vs.VM), string(vs.Domain), yesNo(vs.Ready), strconv.FormatInt(int64(vs.Version), 10), yesNo(vs.LogHealthy),
				strconv.Itoa(vs.InFlight), strconv.Itoa(len(vs.Owned)), strconv.Itoa(len(vs.LiveMembers)), strings.TrimSpace(note))
		}
		tw.flush()
	})
	for _, vs := range sts {
		if !vs.Ready {
			return errNotReady
		}
	}
	return nil
}

type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"settings or configuration file"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks a file and prints every fault.
func (ch *checkCommand) Execute([]string) error {
	kind, err := checker.Check(ch.Args.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %s, no fault\n", ch.Args.File, kind)
	return nil
}

// tableWriter writes an aligned table to standard output.
type tableWriter struct{ tw *tabwriter.Writer }

func newTable(headers ...string) tableWriter {
	const padding = 2
	tw := tableWriter{tabwriter.NewWriter(os.Stdout, 0, 0, padding, ' ', 0)}
	tw.row(headers...)
	return tw
}

func (ta tableWriter) row(cells ...string) { fmt.Fprintln(ta.tw, strings.Join(cells, "\t")) }

func (ta tableWriter) flush() { _ = ta.tw.Flush() }

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
