package commander

import (
	"context"
	"fmt"
	"os"
	"slices"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/command/reporter"
	"github.com/mulberrylever/mulberrylever/internal/state/burner"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
)

type reportCommand struct {
	operatorOptions
	By   string   `long:"by" default:"length" choice:"length" choice:"team" choice:"domain" description:"what the lines are split by"`
	VM   []string `long:"vm" description:"only these entry VMs; may be given several times"`
	HTML string   `long:"html" description:"file for one self-contained HTML page"`
}

// Execute collects the objective counts of the entry VMs and prints the report.
func (rc *reportCommand) Execute([]string) error {
	re, err := rc.collect()
	if err != nil {
		return err
	}
	if rc.HTML != "" {
		file, err := os.Create(rc.HTML)
		if err != nil {
			return fmt.Errorf("create HTML page: %w", err)
		}
		defer file.Close()
		return re.WriteHTML(file)
	}
	rc.print(re, func() { err = re.WriteTable(os.Stdout) })
	return err
}

func (rc *reportCommand) collect() (reporter.Report, error) {
	op, err := rc.operator()
	if err != nil {
		return reporter.Report{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), rc.Wait)
	defer cancel()
	vms, err := op.VMs(ctx)
	if err != nil {
		return reporter.Report{}, err
	}
	sns, fl, polled := []burner.Snapshot{}, folder.NewFleet(), reporter.Report{VMs: []ml.VMID{}, Missing: []ml.VMID{}}
	for _, en := range vms.Entries {
		if len(rc.VM) > 0 && !slices.Contains(rc.VM, string(en.ID)) {
			continue
		}
		sn := burner.Snapshot{}
		if err := op.GetAdmin(ctx, en.AdminAddress, "/admin/burn", &sn); err != nil {
			polled.Missing = append(polled.Missing, en.ID)
			continue
		}
		_ = op.GetAdmin(ctx, en.AdminAddress, "/admin/fleet", fl)
		polled.VMs = append(polled.VMs, en.ID)
		sns = append(sns, sn)
	}
	re, err := reporter.New(sns, fl.Config.Objectives, reporter.Grouping(rc.By))
	re.VMs, re.Missing = polled.VMs, polled.Missing
	return re, err
}
