package commander

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/command/operator"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
)

// markCommand takes a failure domain or VM out of service, or back.
type markCommand struct {
	changeOptions
	Reason string `long:"reason" description:"why; required to take something out"`
	Args   struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`

	scope string
	out   bool
}

// Execute writes the mark.
func (ma *markCommand) Execute([]string) error {
	if ma.out && strings.TrimSpace(ma.Reason) == "" {
		return usageError{fmt.Errorf("--reason: a written reason is required to take a %s out (got %q)", ma.scope, ma.Reason)}
	}
	if err := ma.known(); err != nil {
		return err
	}
	return ma.submit(func(fl *folder.Fleet) (folder.Change, error) {
		isOut := fl.DomainIsOut(ml.DomainID(ma.Args.Name))
		if ma.scope == "vm" {
			isOut = fl.VMIsOut(ma.Args.Name)
		}
		if !ma.out && !isOut {
			return folder.Change{}, fmt.Errorf("%s %q is not out of service", ma.scope, ma.Args.Name)
		}
		return folder.Change{Mark: &folder.Mark{Scope: ma.scope, Name: ma.Args.Name, Out: ma.out, Reason: ma.Reason}}, nil
	})
}

// known refuses a name that the platform's list lacks. Something already out
// may be gone from the list and can still be taken back in.
func (ma *markCommand) known() error {
	op, err := ma.operator()
	if err != nil || !ma.out {
		return err
	}
	ctx, cancel := ma.context()
	defer cancel()
	vms, err := op.VMs(ctx)
	if err != nil {
		return err
	}
	names := namesOf(vms, ma.scope)
	if !slices.Contains(names, ma.Args.Name) {
		return fmt.Errorf("no %s %q, known are: %s", ma.scope, ma.Args.Name, strings.Join(names, ", "))
	}
	return nil
}

// namesOf returns the names of all failure domains or VMs.
func namesOf(vms ml.VMs, scope string) []string {
	names := []string{}
	for _, en := range vms.Entries {
		names = append(names, nameOf(scope, string(en.ID), en.Domain))
	}
	for _, ep := range vms.Endpoints {
		names = append(names, nameOf(scope, string(ep.ID), ep.Domain))
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func nameOf(scope, vm string, domain ml.DomainID) string {
	if scope == "vm" {
		return vm
	}
	return string(domain)
}

// markListCommand lists failure domains or VMs.
type markListCommand struct {
	operatorOptions
	scope string
}

// marked is one line of a list.
type marked struct {
	Name      string               `json:"name"`
	Domain    ml.DomainID          `json:"domain,omitempty"`
	State     string               `json:"state"`
	Entries   int                  `json:"entries,omitempty"`
	Endpoints int                  `json:"endpoints,omitempty"`
	Out       *folder.OutOfService `json:"out,omitempty"`
}

// Execute prints the list.
func (li *markListCommand) Execute([]string) error {
	return li.read(func(ctx context.Context, op *operator.Operator, fl *folder.Fleet) error {
		vms, err := op.VMs(ctx)
		if err != nil {
			return err
		}
		lines := listVMs(vms, fl)
		if li.scope == "domain" {
			lines = listDomains(vms, fl)
		}
		li.print(lines, func() { printMarked(lines) })
		return nil
	})
}

func listVMs(vms ml.VMs, fl *folder.Fleet) []marked {
	out := []marked{}
	for _, en := range vms.Entries {
		out = append(out, marked{Name: string(en.ID), Domain: en.Domain, State: string(en.State), Out: find(fl.VMsOut, string(en.ID))})
	}
	for _, ep := range vms.Endpoints {
		out = append(out, marked{Name: string(ep.ID), Domain: ep.Domain, State: string(ep.State), Out: find(fl.VMsOut, string(ep.ID))})
	}
	return out
}

func listDomains(vms ml.VMs, fl *folder.Fleet) []marked {
	out := []marked{}
	for _, name := range namesOf(vms, "domain") {
		ma := marked{Name: name, State: "in", Out: find(fl.DomainsOut, name)}
		for _, en := range vms.Entries {
			if string(en.Domain) == name {
				ma.Entries++
			}
		}
		for _, ep := range vms.Endpoints {
			if string(ep.Domain) == name {
				ma.Endpoints++
			}
		}
		if ma.Out != nil {
			ma.State = "out"
		}
		out = append(out, ma)
	}
	return out
}

func find(outs []folder.OutOfService, name string) *folder.OutOfService {
	i := slices.IndexFunc(outs, func(ou folder.OutOfService) bool { return ou.Name == name })
	if i < 0 {
		return nil
	}
	return &outs[i]
}

func printMarked(lines []marked) {
	tw := table("NAME", "DOMAIN", "STATE", "ENTRY VMS", "ENDPOINTS", "OUT SINCE", "BY", "REASON")
	for _, ma := range lines {
		since, by, reason := "", "", ""
		if ma.Out != nil {
			since, by, reason = ma.Out.At.Format(time.RFC3339), ma.Out.By, ma.Out.Reason
		}
		tw.row(ma.Name, string(ma.Domain), ma.State, count(ma.Entries), count(ma.Endpoints), since, by, reason)
	}
	tw.flush()
}

func count(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}
