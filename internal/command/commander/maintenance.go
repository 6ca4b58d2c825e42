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

// maintenanceCommand takes a failure domain or VM out of service or puts it back.
type maintenanceCommand struct {
	changeOptions
	Reason string `long:"reason" description:"why; required to take something out"`
	Args   struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`

	scope string
	out   bool
}

// Execute submits the change.
func (ma *maintenanceCommand) Execute([]string) error {
	if ma.out && strings.TrimSpace(ma.Reason) == "" {
		return usageError{fmt.Errorf("--reason: a written reason is required to take a %s out (got %q)", ma.scope, ma.Reason)}
	}
	if err := ma.checkName(); err != nil {
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

// checkName returns an error if a name to take out of service is not in the
// platform's list. Names to put back are not checked, because something out of
// service may no longer be listed.
func (ma *maintenanceCommand) checkName() error {
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
	names := scopeNames(vms, ma.scope)
	if !slices.Contains(names, ma.Args.Name) {
		return fmt.Errorf("unknown %s %q, known are: %s", ma.scope, ma.Args.Name, strings.Join(names, ", "))
	}
	return nil
}

// scopeNames returns the sorted names of all failure domains or VMs, as scope says.
func scopeNames(vms ml.VMs, scope string) []string {
	names := []string{}
	for _, en := range vms.Entries {
		names = append(names, scopeName(scope, string(en.ID), en.Domain))
	}
	for _, ep := range vms.Endpoints {
		names = append(names, scopeName(scope, string(ep.ID), ep.Domain))
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func scopeName(scope, vm string, domain ml.DomainID) string {
	if scope == "vm" {
		return vm
	}
	return string(domain)
}

// inventoryCommand lists the failure domains or VMs.
type inventoryCommand struct {
	operatorOptions
	scope string
}

// inventoryRow is one failure domain or VM in the list.
type inventoryRow struct {
	Name      string               `json:"name"`
	Domain    ml.DomainID          `json:"domain,omitempty"`
	State     string               `json:"state"`
	Entries   int                  `json:"entries,omitempty"`
	Endpoints int                  `json:"endpoints,omitempty"`
	Out       *folder.OutOfService `json:"out,omitempty"`
}

// Execute prints the list.
func (iv *inventoryCommand) Execute([]string) error {
	return iv.withFleet(func(ctx context.Context, op *operator.Operator, fl *folder.Fleet) error {
		vms, err := op.VMs(ctx)
		if err != nil {
			return err
		}
		rows := listVMs(vms, fl)
		if iv.scope == "domain" {
			rows = listDomains(vms, fl)
		}
		iv.print(rows, func() { printInventory(rows) })
		return nil
	})
}

func listVMs(vms ml.VMs, fl *folder.Fleet) []inventoryRow {
	out := []inventoryRow{}
	for _, en := range vms.Entries {
		out = append(out, inventoryRow{Name: string(en.ID), Domain: en.Domain, State: string(en.State), Out: findOutOfService(fl.VMsOut, string(en.ID))})
	}
	for _, ep := range vms.Endpoints {
		out = append(out, inventoryRow{Name: string(ep.ID), Domain: ep.Domain, State: string(ep.State), Out: findOutOfService(fl.VMsOut, string(ep.ID))})
	}
	return out
}

func listDomains(vms ml.VMs, fl *folder.Fleet) []inventoryRow {
	out := []inventoryRow{}
	for _, name := range scopeNames(vms, "domain") {
		ro := inventoryRow{Name: name, State: "in", Out: findOutOfService(fl.DomainsOut, name)}
		for _, en := range vms.Entries {
			if string(en.Domain) == name {
				ro.Entries++
			}
		}
		for _, ep := range vms.Endpoints {
			if string(ep.Domain) == name {
				ro.Endpoints++
			}
		}
		if ro.Out != nil {
			ro.State = "out"
		}
		out = append(out, ro)
	}
	return out
}

func findOutOfService(outs []folder.OutOfService, name string) *folder.OutOfService {
	i := slices.IndexFunc(outs, func(ou folder.OutOfService) bool { return ou.Name == name })
	if i < 0 {
		return nil
	}
	return &outs[i]
}

func printInventory(rows []inventoryRow) {
	tw := newTable("NAME", "DOMAIN", "STATE", "ENTRY VMS", "ENDPOINTS", "OUT SINCE", "BY", "REASON")
	for _, ro := range rows {
		since, by, reason := "", "", ""
		if ro.Out != nil {
			since, by, reason = ro.Out.At.Format(time.RFC3339), ro.Out.By, ro.Out.Reason
		}
		tw.row(ro.Name, string(ro.Domain), ro.State, formatCount(ro.Entries), formatCount(ro.Endpoints), since, by, reason)
	}
	tw.flush()
}

// formatCount returns n in decimal, or an empty cell for 0.
func formatCount(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}
