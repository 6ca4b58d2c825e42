//go:build review

package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["drill"] = playDrill }

// The figures of the drill.
const (
	copyAge  = 4 * time.Second         // of the copy from which the store comes back
	awayTime = 1500 * time.Millisecond // for which the store is away
)

const (
	keptKey    = "n2ctnfzs989anu6wsjnb"
	revokedKey = "anfqasnmgkcuyj8pjbvk"
)

// playDrill has the operator change the configuration a few times, lets the store come back from
// a copy some seconds old, and, when all has long been calm, has the operator take a key away and
// move a route. A request that is sent with that key later than the bounds allow must not run, and
// one on the moved route must not reach the old service.
func playDrill(wo *World, hasTrouble bool) (verdict, error) {
	engines := []*Engine{}
	for i, service := range []string{serviceCounter, serviceSpare} {
		all, err := wo.startEngines(service, 2, 3+10*i)
		if err != nil {
			return verdict{}, err
		}
		engines = append(engines, all...)
	}
	co := Config{Version: 10, Keys: []string{keptKey, revokedKey}, MovedService: serviceCounter}
	if _, err := wo.publish(co); err != nil {
		return verdict{}, err
	}
	vms, err := wo.startVMs(3)
	if err != nil {
		return verdict{}, err
	}
	ca := &callers{world: wo, vms: vms}
	ca.start()
	time.Sleep(3 * time.Second)

	ends := wo.Store.Copy()
	copied := time.Now()
	for range 3 {
		time.Sleep(time.Second)
		co.Version += 2
		if _, err := wo.publish(co); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(copyAge - time.Since(copied))
	if hasTrouble {
		wo.record("the store goes away")
		wo.Store.GoAway()
		time.Sleep(awayTime)
		wo.Store.Restore(ends)
		wo.record("the store is back from a copy that was %v old when it went away", copyAge)
		if _, err := wo.publish(co); err != nil { // what the operator wrote is written again
			return verdict{}, err
		}
	}
	time.Sleep(3 * boundStability)

	co.Version += 2
	co.Keys, co.MovedService = []string{keptKey}, serviceSpare
	acked, err := wo.publish(co)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(15 * time.Second)
	ca.stop()
	return ca.judge(engines, acked), nil
}

// callers send lookups to the entry VMs in turn.
type callers struct {
	world   *World
	vms     []*VM
	stopped chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	sent    []sentCall
}

// sentCall is a request that was sent, and what became of it.
type sentCall struct {
	Call
	*Outcome
	vm string
}

func (cs *callers) start() {
	cs.stopped = make(chan struct{})
	for _, vm := range cs.vms {
		cs.wg.Add(1)
		go cs.run(vm)
	}
}

func (cs *callers) stop() {
	close(cs.stopped)
	cs.wg.Wait()
}

// run sends requests to one entry VM until stop is called.
func (cs *callers) run(vm *VM) {
	defer cs.wg.Done()
	for i := 0; ; i++ {
		select {
		case <-cs.stopped:
			return
		case <-time.After(100 * time.Millisecond):
		}
		ca := Call{Method: "GET", Path: "/look/2f", Key: keptKey, TimeLimit: 1500 * time.Millisecond}
		switch i % 3 {
		case 1:
			ca.Key = revokedKey
		case 2:
			ca.Path = "/moved/2f"
		}
		ou, err := vm.call(ca)
		if err != nil {
			cs.world.record("requester: %s not reached: %v", vm.Name, err)
			continue
		}
		cs.world.record("requester: %s %s with key %s at %s: %s", ca.Method, ca.Path, ca.Key, vm.Name, ou)
		cs.mu.Lock()
		cs.sent = append(cs.sent, sentCall{ca, ou, vm.Name})
		cs.mu.Unlock()
	}
}

// judge counts the requests that were sent later than the bounds allow after the last version was
// acknowledged, and were handled as only an older one allows.
func (cs *callers) judge(engines []*Engine, acked time.Time) verdict {
	runs := map[string]Run{}
	for _, en := range engines {
		for _, ru := range en.Runs() {
			runs[ru.Attempt] = ru
		}
	}
	late, withKey, oldService := 0, 0, 0
	names := []string{}
	for _, se := range cs.sent {
		ru, hasRun := runs[se.Attempt]
		after := se.SentAt.Sub(acked)
		isBad := false
		if after > max(boundConfigApply, boundRevoke) {
			late++
			if se.Key == revokedKey && hasRun {
				withKey++
				isBad = true
			}
			if strings.HasPrefix(se.Path, "/moved/") && hasRun && ru.Service == serviceCounter {
				oldService++
				isBad = true
			}
		}
		if isBad && !slices.Contains(names, se.vm) {
			names = append(names, se.vm)
		}
	}
	slices.Sort(names)
	return verdict{withKey+oldService > 0, fmt.Sprintf(
		"of %d requests that were sent more than %v after the last version was acknowledged, %d ran with the key that it had dropped, and %d were run by the service from which it had moved their route; at %v",
		late, max(boundConfigApply, boundRevoke), withKey, oldService, names)}
}
