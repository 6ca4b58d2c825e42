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

// binDir contains the programs, built with the tag "mutants" so that mechanisms
// can be disabled.
var binDir string

// buildPrograms builds the product and the stand-in into binDir.
func buildPrograms() {
	var err error
	binDir, err = os.MkdirTemp("", "prover")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	cmd := exec.Command("go", "build", "-tags", "mutants", "-o", binDir, "./cmd/...")
	cmd.Dir = filepath.Join("..", "..", "..")
	out, err := cmd.CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
}

// fleetSpec sets the size of a fleet and how its processes are connected.
type fleetSpec struct {
	domains, entries, engines, services int           // all but domains: per domain
	extraEntries, extraEngines          int           // how many domains, from the first, get one more
	cells                               int           // per domain, VMs are assigned round-robin; 0 for none
	relayed                             bool          // connections from entry VMs go through a relay
	useTLS                              bool          // for callers and between entry VMs
	writeTimeout                        time.Duration // of entry VMs towards callers; 0 for the default
	serviceLatency                      time.Duration
	responseLossRate                    float64 // share of service responses lost after the call has taken effect
}

// process is one program of a fleet.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *bytes.Buffer
	done chan struct{}
}

// fleet is a small fleet of real processes.
type fleet struct {
	spec            fleetSpec
	config          fleetreader.Fleet
	configPath      string
	dir             string
	mutant          mutator.Mechanism
	processes       map[string]*process
	exited          []*process
	plan            generator.Plan
	client          *http.Client
	listenAddresses map[string]string // by name, for processes that are advertised under a relay's address
	network         relayer.Relayer   // used if spec.relayed is set
	relayCtx        context.Context
	cancelRelays    context.CancelFunc
}

// extraIn returns 1 for each of the first n domains and 0 for the others.
func extraIn(d, n int) int {
	if d < n {
		return 1
	}
	return 0
}

// cell returns the cell of the i-th VM of one kind in a domain.
func (fs fleetSpec) cell(i int) ml.CellID {
	if fs.cells == 0 {
		return ""
	}
	return ml.CellID(fmt.Sprintf("c%d", i%fs.cells+1))
}

// startFleet writes the settings files, starts all processes and waits until
// the entry VMs are ready. mutant names the mechanism to disable, if any.
func startFleet(fs fleetSpec, mutant mutator.Mechanism) *fleet {
	fl := &fleet{spec: fs, mutant: mutant, processes: make(map[string]*process), client: &http.Client{Timeout: 5 * time.Second}}
	fl.relayCtx, fl.cancelRelays = context.WithCancel(context.Background())
	fl.network.HostName = fl.vmByIP
	fl.dir = ginkgo.GinkgoT().TempDir()
	const numAddresses = 200
	addresses := freeAddresses(numAddresses)
	nextAddress := func() string {
		address := addresses[0]
		addresses = addresses[1:]
		return address
	}
	fl.listenAddresses = make(map[string]string)
	fl.config.Platform = fleetreader.PlatformConfig{Address: fl.advertisedAddress("platform", nextAddress), ListLagMs: 500}
	fl.config.Engine = fleetreader.EngineConfig{StreamRetentionMs: 10_000, LoadLagMs: 300}
	settings := []loader.Settings{}
	for d := range fs.domains {
		domain := ml.DomainID(fmt.Sprintf("d%d", d+1))
		for e := range fs.entries + extraIn(d, fs.extraEntries) {
			se := loader.Default()
			se.VM, se.Domain, se.Platform = ml.VMID(fmt.Sprintf("%s-entry%d", domain, e+1)), domain, fl.config.Platform.Address
			se.Cell = fs.cell(e)
			se.CallerAddress, se.PeerAddress, se.AdminAddress = nextAddress(), nextAddress(), nextAddress()
			se.PeerAdvertise = se.PeerAddress
			if fs.relayed {
				se.OutgoingIP = fmt.Sprintf("127.0.1.%d", len(settings)+1)
				fl.listenAddresses[string(se.VM)] = se.PeerAddress
				se.PeerAdvertise = fl.startRelay(string(se.VM), nextAddress)
			}
			se.AccessKeys = []loader.AccessKey{{Key: "key-of-a", Team: "a"}, {Key: "key-of-b", Team: "b"}}
			se.Limits.DrainMs = 600
			if fs.writeTimeout > 0 {
				se.Limits.WriteTimeoutMs = fs.writeTimeout.Milliseconds()
			}
			settings = append(settings, se)
			fl.config.VMs.Entries = append(fl.config.VMs.Entries, ml.EntryVM{
				ID: se.VM, Domain: domain, Cell: se.Cell, PeerAddress: se.PeerAdvertise, AdminAddress: se.AdminAddress,
			})
			fl.plan.Targets = append(fl.plan.Targets, generator.Target{Address: se.CallerAddress, AdminAddress: se.AdminAddress})
		}
		for e := range fs.engines + extraIn(d, fs.extraEngines) {
			id := fmt.Sprintf("%s-engine%d", domain, e+1)
			fl.config.VMs.Endpoints = append(fl.config.VMs.Endpoints, ml.Endpoint{
				ID: ml.EndpointID(id), Domain: domain, Cell: fs.cell(e), Kind: ml.KindEngine, Address: fl.advertisedAddress(id, nextAddress),
				Model: "m", Memory: 400_000, MaxRequests: 32, ColdRequests: 2, ColdTokens: 16_000,
			})
		}
		for e := range fs.services {
			id := fmt.Sprintf("%s-service%d", domain, e+1)
			fl.config.VMs.Endpoints = append(fl.config.VMs.Endpoints, ml.Endpoint{
				ID: ml.EndpointID(id), Domain: domain, Kind: ml.KindService, Address: fl.advertisedAddress(id, nextAddress),
				Service: "bookings", MaxRequests: 64, ColdRequests: 4,
			})
		}
	}
	fl.configPath = fl.writeJSON("fleet", fl.config)
	tlsFiles := loader.TLS{}
	if fs.useTLS {
		tlsFiles = makeTLS(fl.dir)
	}
	for i := range settings {
		settings[i].PeerTLS, settings[i].CallerTLS = tlsFiles, tlsFiles
		for j := range settings {
			if j != i {
				settings[i].Neighbours = append(settings[i].Neighbours, settings[j].PeerAdvertise)
			}
		}
		fl.writeJSON(string(settings[i].VM), settings[i])
	}
	fl.plan.Model, fl.plan.ArrivalRate = "m", 20
	fl.plan.Teams = []generator.Team{{ID: "a", Key: "key-of-a", Weight: 1}, {ID: "b", Key: "key-of-b", Weight: 1}}
	fl.startAll()
	return fl
}

// writeJSON writes a file into the fleet's directory and returns its path.
func (fl *fleet) writeJSON(name string, body any) string {
	data, err := json.Marshal(body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	path := filepath.Join(fl.dir, name+".json")
	gomega.Expect(os.WriteFile(path, data, 0o600)).To(gomega.Succeed())
	return path
}

func (fl *fleet) startAll() {
	fl.start("platform")
	for _, ep := range fl.config.VMs.Endpoints {
		fl.start(string(ep.ID))
	}
	for _, en := range fl.config.VMs.Entries {
		fl.start(string(en.ID))
	}
	fl.waitReady(len(fl.config.VMs.Entries))
}

// start starts one process. The name selects its program and settings file.
func (fl *fleet) start(name string) {
	args := []string{"serve", "--settings", filepath.Join(fl.dir, name+".json")}
	program := "mulberrylever"
	switch {
	case name == "platform":
		program, args = "standin", []string{"platform", "--fleet", fl.configPath}
	case strings.Contains(name, "engine"):
		program, args = "standin", []string{"engine", "--fleet", fl.configPath, "--id", name}
	case strings.Contains(name, "service"):
		program, args = "standin", []string{
			"service", "--fleet", fl.configPath, "--id", name, "--latency", max(fl.spec.serviceLatency, time.Millisecond).String(),
			"--lose-answers", fmt.Sprint(fl.spec.responseLossRate),
		}
	}
	if address := fl.listenAddresses[name]; address != "" && program == "standin" {
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

func (fl *fleet) signal(name string, sig syscall.Signal) {
	gomega.Expect(fl.processes[name].cmd.Process.Signal(sig)).To(gomega.Succeed())
}

// kill sends SIGKILL and waits for the exit.
func (fl *fleet) kill(name string) {
	fl.signal(name, syscall.SIGKILL)
	fl.waitExit(name)
}

// waitExit waits for a process to exit and returns its exit code.
func (fl *fleet) waitExit(name string) int {
	pr := fl.processes[name]
	gomega.Eventually(pr.done, "60s").Should(gomega.BeClosed())
	delete(fl.processes, name)
	fl.exited = append(fl.exited, pr)
	return pr.cmd.ProcessState.ExitCode()
}

// stopAll kills all running processes and closes the relays.
func (fl *fleet) stopAll() {
	for _, pr := range fl.processes {
		_ = pr.cmd.Process.Kill()
	}
	for _, pr := range fl.processes {
		<-pr.done
		fl.exited = append(fl.exited, pr)
	}
	fl.processes = nil
	fl.cancelRelays()
}

// waitReady waits until n entry VMs are ready.
func (fl *fleet) waitReady(n int) {
	gomega.Eventually(func() int {
		ready := 0
		for _, en := range fl.config.VMs.Entries {
			if fl.getJSON(en.AdminAddress, "/readyz", nil) == nil {
				ready++
			}
		}
		return ready
	}, "20s", "100ms").Should(gomega.Equal(n), fl.logs)
}

// getJSON sends a GET request and decodes the response into out.
func (fl *fleet) getJSON(address, path string, out any) error {
	return requester.Requester{Client: fl.client, Step: "get"}.Do(context.Background(), http.MethodGet, address, path, nil, out)
}

// setFaults replaces the faults that the stand-in platform simulates.
func (fl *fleet) setFaults(fa recorder.Faults) {
	err := requester.Requester{Client: fl.client, Step: "chaos"}.Do(context.Background(), http.MethodPost, fl.config.Platform.Address, "/chaos", fa, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// runOperatorCommand runs a command against the platform and returns its output
// and exit code.
func (fl *fleet) runOperatorCommand(args ...string) (string, int) {
	return fl.runCommand(append(args, "--platform", fl.config.Platform.Address)...)
}

// runCommand runs the product's program and returns its output and exit code.
func (fl *fleet) runCommand(args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(binDir, "mulberrylever"), args...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// runLoad sends requests according to the plan and returns the results.
func (fl *fleet) runLoad(duration time.Duration) []generator.Result {
	ge := &generator.Generator{Plan: fl.plan, Seed: 1, Duration: duration}
	for _, ep := range fl.config.VMs.Endpoints {
		if ep.Kind == ml.KindService {
			ge.Services = append(ge.Services, ep)
		}
	}
	results, err := ge.Run(context.Background())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return results
}

// unexpectedResults returns the results other than a complete answer, a refusal
// or an error reported in time.
func unexpectedResults(results []generator.Result) []generator.Result {
	out := []generator.Result{}
	for _, rs := range results {
		if rs.Outcome != generator.OK && rs.Outcome != generator.Refused && rs.Outcome != generator.Failed {
			out = append(out, rs)
		}
	}
	return out
}

// holds returns the memory holds on all running engines.
func (fl *fleet) holds() []ml.Hold {
	out := []ml.Hold{}
	for _, ep := range fl.config.VMs.Endpoints {
		out = append(out, fl.holdsOf(ep)...)
	}
	return out
}

// holdsOf returns the memory holds on one engine, or nil if it is not running.
func (fl *fleet) holdsOf(ep ml.Endpoint) []ml.Hold {
	re := ml.EngineReport{}
	if ep.Kind != ml.KindEngine || fl.getJSON(ep.Address, "/v1/holds", &re) != nil {
		return nil
	}
	return re.Holds
}

// coldOverloads returns how often cold engines got more than their cold
// capacity.
func (fl *fleet) coldOverloads() int {
	n, counts := 0, make(map[string]int)
	gomega.Expect(fl.getJSON(fl.config.Platform.Address, "/overloads", &counts)).To(gomega.Succeed())
	for _, c := range counts {
		n += c
	}
	return n
}

// configVersion returns the version of the configuration in force on an entry
// VM, or -1 if it does not answer.
func (fl *fleet) configVersion(en ml.EntryVM) ml.Version {
	state := folder.Fleet{}
	if err := fl.getJSON(en.AdminAddress, "/admin/fleet", &state); err != nil {
		return -1
	}
	return state.Version
}

// violations returns the log lines of invariant violations. It must be called
// after stopAll.
func (fl *fleet) violations() []string {
	out := []string{}
	for _, line := range strings.Split(fl.logs(), "\n") {
		if strings.Contains(line, `"msg":"violation"`) {
			out = append(out, line)
		}
	}
	return out
}

// logs returns the logs of all processes that have exited. It is complete only
// after stopAll.
func (fl *fleet) logs() string {
	sb := strings.Builder{}
	for _, pr := range fl.exited {
		sb.Write(pr.log.Bytes())
	}
	return sb.String()
}
