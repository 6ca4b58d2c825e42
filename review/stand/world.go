//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The ports of all entry VMs, of the store and of the engines.
const (
	portFront, portReady, portControl, portMetrics = 8227, 8220, 8229, 9464
	portInternalFirst, portInternalLast            = 7340, 7355
	portStore, portEngine                          = 8223, 8080
)

// The bounds of the small sites on which the cases depend.
const (
	boundGrace       = 8 * time.Second
	boundConfigApply = 2 * time.Second
	boundRevoke      = 5 * time.Second
	boundStability   = 3 * time.Second
	boundLossSlack   = 200 * time.Millisecond
	heartbeat        = 1200 * time.Millisecond
)

// World is a small deployment on loopback addresses: entry VMs, the platform's store and
// engines.
type World struct {
	Store   *Store
	program string
	dir     string // for settings files
	file    *os.File
	start   time.Time
	network string // the first two numbers of all addresses

	mu      sync.Mutex
	vms     []*VM
	engines map[string]*Engine // by address
	servers []*http.Server
	closed  bool
}

// record writes a line to the record of the case.
func (wo *World) record(format string, args ...any) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	fmt.Fprintf(wo.file, "%8.3f "+format+"\n", append([]any{time.Since(wo.start).Seconds()}, args...)...)
}

// open finds a free range of loopback addresses and starts the store.
func (wo *World) open() error {
	const tries = 20
	for range tries {
		wo.network = fmt.Sprintf("127.%d", 60+rand.IntN(180))
		wo.Store = newStore()
		if err := wo.serve(wo.address("200.7", portStore), wo.Store); err == nil {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

// address returns host:port for the last two numbers of an address.
func (wo *World) address(host string, port int) string {
	return fmt.Sprintf("%s.%s:%d", wo.network, host, port)
}

// serve starts an HTTP server that runs until the world is closed.
func (wo *World) serve(address string, handler http.Handler) error {
	li, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	se := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	wo.mu.Lock()
	wo.servers = append(wo.servers, se)
	wo.mu.Unlock()
	go func() { _ = se.Serve(li) }()
	return nil
}

// close ends all processes that the world has started, and removes its files.
func (wo *World) close() {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if wo.closed {
		return
	}
	wo.closed = true
	for _, vm := range wo.vms {
		vm.kill()
	}
	for _, se := range wo.servers {
		_ = se.Close()
	}
	_ = wo.file.Sync()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(wo.dir)
	}
}

// VM is one entry VM's process.
type VM struct {
	Name, Host string
	world      *World
	settings   string
	command    *exec.Cmd
	ended      chan struct{}
}

// zones are the failure domains of the entry VMs, in turn.
var zones = []string{"sem-a", "sem-b", "sem-c"}

// startVMs starts a number of entry VMs for the first time and waits until they are ready.
func (wo *World) startVMs(n int) ([]*VM, error) {
	out := []*VM{}
	for i := range n {
		vm := &VM{Name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), Host: fmt.Sprintf("%d.%d", i%len(zones)+1, 40+i/len(zones)), world: wo}
		out = append(out, vm)
	}
	for i, vm := range out {
		if err := vm.writeSettings(zones[i%len(zones)], out, true); err != nil {
			return nil, err
		}
		if err := vm.begin(); err != nil {
			return nil, err
		}
	}
	for _, vm := range out {
		if err := vm.waitReady(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// writeSettings writes the settings file, as the platform does.
func (vm *VM) writeSettings(zone string, all []*VM, isFirstStart bool) error {
	wo := vm.world
	seeds := []string{}
	for i, other := range all {
		if i < 3 {
			seeds = append(seeds, wo.address(other.Host, portControl))
		}
	}
	settings := map[string]any{
		"node": vm.Name, "role": "front", "machineClass": "front", "serves": []string{"front", "control"},
		"ip": wo.network + "." + vm.Host, "zone": zone, "region": "semenanjung",
		"zones":         map[string]string{"sem-a": "semenanjung", "sem-b": "semenanjung", "sem-c": "semenanjung"},
		"listen":        map[string]string{"front": wo.address(vm.Host, portFront), "ready": wo.address(vm.Host, portReady), "control": wo.address(vm.Host, portControl)},
		"internalPorts": []int{portInternalFirst, portInternalLast}, "seeds": seeds, "bootstrap": isFirstStart, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "spans"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": boundStability.Milliseconds(), "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
			"graceS": boundGrace.Seconds(), "lossSlackMs": boundLossSlack.Milliseconds(), "configApplyMs": boundConfigApply.Milliseconds(), "rollbackSlackMs": 250,
			"outerMs": 5000, "revokeFailClosed": false, "revokeMs": boundRevoke.Milliseconds(), "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 100,
			"coldOverage": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "holdMaxMs": 20000,
			"freeMs": 4000, "idleMaxMs": 9000,
		},
		"platform": map[string]any{
			"address": wo.address("200.7", portStore), "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 12, "appendMs": 2.0,
			"partitionMbS": 20.0, "readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	vm.settings = filepath.Join(wo.dir, vm.Name+".json")
	return os.WriteFile(vm.settings, data, 0o644)
}

// begin starts the process with the command of the deploy file.
func (vm *VM) begin() error {
	log, err := os.Create(filepath.Join(vm.world.dir, fmt.Sprintf("%s-%d.log", vm.Name, time.Now().UnixNano())))
	if err != nil {
		return err
	}
	defer log.Close()
	co := exec.Command(vm.world.program, "front", "--metrics-port", fmt.Sprint(portMetrics))
	co.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MULBERRYLEVER_NODE_FILE=" + vm.settings}
	co.Stdout, co.Stderr = log, log
	co.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this process
	if err := co.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		err := co.Wait()
		vm.world.record("%s has ended: %v", vm.Name, err)
		close(ended)
	}()
	vm.world.mu.Lock()
	vm.world.vms = append(vm.world.vms, vm)
	vm.world.mu.Unlock()
	vm.command, vm.ended = co, ended
	vm.world.record("%s has started", vm.Name)
	return nil
}

// signal sends a signal to the process.
func (vm *VM) signal(si syscall.Signal) {
	vm.world.record("%s gets %v", vm.Name, si)
	_ = vm.command.Process.Signal(si)
}

// kill ends the process, if it runs.
func (vm *VM) kill() {
	select {
	case <-vm.ended:
	default:
		_ = vm.command.Process.Kill()
	}
}

// isReady asks the entry VM whether it is ready, as the ingress does.
func (vm *VM) isReady() bool {
	cl := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := cl.Get("http://" + vm.world.address(vm.Host, portReady) + "/ready")
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// waitReady waits until the entry VM is ready.
func (vm *VM) waitReady() error {
	const patience = 10 * time.Second
	for until := time.Now().Add(patience); time.Now().Before(until); {
		if vm.isReady() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", vm.Name)
}

// frontAddress returns the address at which the entry VM serves requesters.
func (vm *VM) frontAddress() string { return vm.world.address(vm.Host, portFront) }
