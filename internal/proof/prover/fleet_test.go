package prover_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/requester"
	"github.com/mulberrylever/mulberrylever/internal/setting/loader"
	"github.com/mulberrylever/mulberrylever/internal/standin/fleetreader"
	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
	"github.com/mulberrylever/mulberrylever/internal/standin/recorder"
	"github.com/mulberrylever/mulberrylever/internal/standin/relayer"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
	"github.com/mulberrylever/mulberrylever/internal/state/mutator"
)

// binDir holds the programs, built with the switches for mechanisms.
var binDir string

// build builds both programs.
func build() {
	var err error
	binDir, err = os.MkdirTemp("", "prover")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	cmd := exec.Command("go", "build", "-tags", "mutants", "-o", binDir, "./cmd/...")
	cmd.Dir = filepath.Join("..", "..", "..")
	out, err := cmd.CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
}

// size is the shape of a fleet.
type size struct {
	domains, entries, engines, services int  // the last three per domain
	extraEntries, extraEngines          int  // in the first domains, one each
	cells                               int  // of each domain; VMs are spread over them in turn
	linked                              bool // connections of entry VMs pass a relay
	encrypted                           bool // callers and entry VMs use TLS
	writeTimeout                        time.Duration
	latency                             time.Duration
	loseAnswers                         float64
}

// process is one running program.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *bytes.Buffer
	done chan struct{}
}

// fleet is a small fleet of real processes.
type fleet struct {
	size      size
	file      fleetreader.Fleet
	fleetPath string
	dir       string
	mutant    mutator.Mechanism
	processes map[string]*process
	ended     []*process
	plan      generator.Plan
	client    *http.Client
	listen    map[string]string // real addresses of what is listed behind a relay
	relays    relayer.Relayer
	relayCtx  context.Context
	endRelays context.CancelFunc
}

// extra tells whether the d-th domain has one more.
func extra(d, n int) int {
	if d < n {
		return 1
	}
	return 0
}

// cell returns the cell of the i-th VM of a kind in a domain.
func (si size) cell(i int) ml.CellID {
	if si.cells == 0 {
		return ""
	}
	return ml.CellID(fmt.Sprintf("c%d", i%si.cells+1))
}

// startFleet writes the files of a fleet, starts it and waits until it is
// ready.
func startFleet(si size, mutant mutator.Mechanism) *fleet {
	fl := &fleet{size: si, mutant: mutant, processes: make(map[string]*process), client: &http.Client{Timeout: 5 * time.Second}}
	fl.relayCtx, fl.endRelays = context.WithCancel(context.Background())
	fl.relays.HostName = fl.vmName
	fl.dir = ginkgo.GinkgoT().TempDir()
	const most = 200
	ports := freePorts(most)
	next := func() string {
		address := ports[0]
		ports = ports[1:]
		return address
	}
	fl.listen = make(map[string]string)
	fl.file.Platform = fleetreader.PlatformConfig{Address: fl.listed("platform", next), ListLagMs: 500}
	fl.file.Engine = fleetreader.EngineConfig{StreamRetentionMs: 10_000, LoadLagMs: 300}
	settings := []loader.Settings{}
	for d := range si.domains {
		domain := ml.DomainID(fmt.Sprintf("d%d", d+1))
		for e := range si.entries + extra(d, si.extraEntries) {
			se := loader.Default()
			se.VM, se.Domain, se.Platform = ml.VMID(fmt.Sprintf("%s-entry%d", domain, e+1)), domain, fl.file.Platform.Address
			se.Cell = si.cell(e)
			se.CallerAddress, se.PeerAddress, se.AdminAddress = next(), next(), next()
			se.PeerAdvertise = se.PeerAddress
			if si.linked {
				se.OutgoingIP = fmt.Sprintf("127.0.1.%d", len(settings)+1)
				fl.listen[string(se.VM)] = se.PeerAddress
				se.PeerAdvertise = fl.relay(string(se.VM), next)
			}
			se.AccessKeys = []loader.AccessKey{{Key: "key-of-a", Team: "a"}, {Key: "key-of-b", Team: "b"}}
			se.Limits.DrainMs = 600
			if si.writeTimeout > 0 {
				se.Limits.WriteTimeoutMs = si.writeTimeout.Milliseconds()
			}
			settings = append(settings, se)
			fl.file.VMs.Entries = append(fl.file.VMs.Entries, ml.EntryVM{
				ID: se.VM, Domain: domain, Cell: se.Cell, PeerAddress: se.PeerAdvertise, AdminAddress: se.AdminAddress,
			})
			fl.plan.Targets = append(fl.plan.Targets, generator.Target{Address: se.CallerAddress, AdminAddress: se.AdminAddress})
		}
		for e := range si.engines + extra(d, si.extraEngines) {
			id := fmt.Sprintf("%s-engine%d", domain, e+1)
			fl.file.VMs.Endpoints = append(fl.file.VMs.Endpoints, ml.Endpoint{
				ID: ml.EndpointID(id), Domain: domain, Cell: si.cell(e), Kind: ml.KindEngine, Address: fl.listed(id, next),
				Model: "m", Memory: 400_000, MaxRequests: 32, ColdRequests: 2, ColdTokens: 16_000,
			})
		}
		for e := range si.services {
			id := fmt.Sprintf("%s-service%d", domain, e+1)
			fl.file.VMs.Endpoints = append(fl.file.VMs.Endpoints, ml.Endpoint{
				ID: ml.EndpointID(id), Domain: domain, Kind: ml.KindService, Address: fl.listed(id, next),
				Service: "bookings", MaxRequests: 64, ColdRequests: 4,
			})
		}
	}
	fl.fleetPath = fl.write("fleet", fl.file)
	files := loader.TLS{}
	if si.encrypted {
		files = makeTLS(fl.dir)
	}
	for i := range settings {
		settings[i].PeerTLS, settings[i].CallerTLS = files, files
		for j := range settings {
			if j != i {
				settings[i].Neighbours = append(settings[i].Neighbours, settings[j].PeerAdvertise)
			}
		}
		fl.write(string(settings[i].VM), settings[i])
	}
	fl.plan.Model, fl.plan.ArrivalRate = "m", 20
	fl.plan.Teams = []generator.Team{{ID: "a", Key: "key-of-a", Weight: 1}, {ID: "b", Key: "key-of-b", Weight: 1}}
	fl.startAll()
	return fl
}

func (fl *fleet) write(name string, body any) string {
	data, err := json.Marshal(body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	path := filepath.Join(fl.dir, name+".json")
	gomega.Expect(os.WriteFile(path, data, 0o600)).To(gomega.Succeed())
	return path
}

func (fl *fleet) startAll() {
	fl.start("platform")
	for _, ep := range fl.file.VMs.Endpoints {
		fl.start(string(ep.ID))
	}
	for _, en := range fl.file.VMs.Entries {
		fl.start(string(en.ID))
	}
	fl.waitReady(len(fl.file.VMs.Entries))
}

// start starts one process of the fleet, by its name in the files.
func (fl *fleet) start(name string) {
	args := []string{"serve", "--settings", filepath.Join(fl.dir, name+".json")}
	program := "mulberrylever"
	switch {
	case name == "platform":
		program, args = "standin", []string{"platform", "--fleet", fl.fleetPath}
	case strings.Contains(name, "engine"):
		program, args = "standin", []string{"engine", "--fleet", fl.fleetPath, "--id", name}
	case strings.Contains(name, "service"):
		program, args = "standin", []string{
			"service", "--fleet", fl.fleetPath, "--id", name, "--latency", max(fl.size.latency, time.Millisecond).String(),
			"--lose-answers", fmt.Sprint(fl.size.loseAnswers),
		}
	}
	if address := fl.listen[name]; address != "" && program == "standin" {
		args = append(args, "--listen", address)
	}
	pr := &process{name: name, log: &bytes.Buffer{}, done: make(chan struct{})}
	pr.cmd = exec.Command(filepath.Join(binDir, program), args...)
	pr.cmd.Stderr = pr.log
	pr.cmd.Env = append(os.Environ(), "MULBERRYLEVER_MUTANT="+string(fl.mutant))
	gomega.Expect(pr.cmd.Start()).To(gomega.Succeed())
	go func() {
		_ = pr.cmd.Wait()
		close(pr.done)
	}()
	fl.processes[name] = pr
}

// signal sends a signal to a process of the fleet.
func (fl *fleet) signal(name string, sig syscall.Signal) {
	gomega.Expect(fl.processes[name].cmd.Process.Signal(sig)).To(gomega.Succeed())
}

// kill ends a process at once.
func (fl *fleet) kill(name string) {
	fl.signal(name, syscall.SIGKILL)
	fl.wait(name)
}

// wait waits until a process has ended and returns its exit code.
func (fl *fleet) wait(name string) int {
	pr := fl.processes[name]
	gomega.Eventually(pr.done, "60s").Should(gomega.BeClosed())
	delete(fl.processes, name)
	fl.ended = append(fl.ended, pr)
	return pr.cmd.ProcessState.ExitCode()
}

// stop ends everything that still runs.
func (fl *fleet) stop() {
	for _, pr := range fl.processes {
		_ = pr.cmd.Process.Kill()
	}
	for _, pr := range fl.processes {
		<-pr.done
		fl.ended = append(fl.ended, pr)
	}
	fl.processes = nil
	fl.endRelays()
}

// waitReady waits until n entry VMs are ready.
func (fl *fleet) waitReady(n int) {
	gomega.Eventually(func() int {
		ready := 0
		for _, en := range fl.file.VMs.Entries {
			if fl.get(en.AdminAddress, "/readyz", nil) == nil {
				ready++
			}
		}
		return ready
	}, "20s", "100ms").Should(gomega.Equal(n), fl.logs)
}

func (fl *fleet) get(address, path string, out any) error {
	return requester.Requester{Client: fl.client, Step: "ask"}.Do(context.Background(), http.MethodGet, address, path, nil, out)
}

// chaos makes the platform misbehave.
func (fl *fleet) chaos(ch recorder.Faults) {
	err := requester.Requester{Client: fl.client, Step: "chaos"}.Do(context.Background(), http.MethodPost, fl.file.Platform.Address, "/chaos", ch, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// operate runs an operators' command and returns its output and exit code.
func (fl *fleet) operate(args ...string) (string, int) {
	return fl.run(append(args, "--platform", fl.file.Platform.Address)...)
}

// run runs the program and returns its output and exit code.
func (fl *fleet) run(args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(binDir, "mulberrylever"), args...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// load sends the plan for a while and returns the results.
func (fl *fleet) load(length time.Duration) []generator.Result {
	ge := &generator.Generator{Plan: fl.plan, Seed: 1, Duration: length}
	for _, ep := range fl.file.VMs.Endpoints {
		if ep.Kind == ml.KindService {
			ge.Services = append(ge.Services, ep)
		}
	}
	results, err := ge.Run(context.Background())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return results
}

// lost returns the results that are not allowed.
func lost(results []generator.Result) []generator.Result {
	out := []generator.Result{}
	for _, rs := range results {
		if rs.Outcome != generator.OK && rs.Outcome != generator.Refused && rs.Outcome != generator.Failed {
			out = append(out, rs)
		}
	}
	return out
}

// held returns what all running engines hold.
func (fl *fleet) held() []ml.Hold {
	out := []ml.Hold{}
	for _, ep := range fl.file.VMs.Endpoints {
		out = append(out, fl.heldBy(ep)...)
	}
	return out
}

// heldBy returns what one engine holds, nothing when it does not run.
func (fl *fleet) heldBy(ep ml.Endpoint) []ml.Hold {
	re := ml.EngineReport{}
	if ep.Kind != ml.KindEngine || fl.get(ep.Address, "/v1/holds", &re) != nil {
		return nil
	}
	return re.Holds
}

// overloads returns how often cold engines were given too much.
func (fl *fleet) overloads() int {
	n, counts := 0, make(map[string]int)
	gomega.Expect(fl.get(fl.file.Platform.Address, "/overloads", &counts)).To(gomega.Succeed())
	for _, c := range counts {
		n += c
	}
	return n
}

// version returns the configuration in force on an entry VM.
func (fl *fleet) version(en ml.EntryVM) ml.Version {
	state := folder.Fleet{}
	if err := fl.get(en.AdminAddress, "/admin/fleet", &state); err != nil {
		return -1
	}
	return state.Version
}

// violations returns the violations that the programs logged.
func (fl *fleet) violations() []string {
	out := []string{}
	for _, line := range strings.Split(fl.logs(), "\n") {
		if strings.Contains(line, `"msg":"violation"`) {
			out = append(out, line)
		}
	}
	return out
}

// logs returns all logs. It must be called after stop, or to explain a
// failure.
func (fl *fleet) logs() string {
	sb := strings.Builder{}
	for _, pr := range fl.ended {
		sb.Write(pr.log.Bytes())
	}
	return sb.String()
}
