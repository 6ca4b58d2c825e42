//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

// The load of the case: answers that are longer than usual take all slots of the engines, and
// dossiers that come after them wait in the entry VM's queue.
const (
	stopEngines     = 2
	longAnswers     = stopEngines * modelSlots
	longAnswerUsage = "8000,7400"
	longAnswerPause = 50 * time.Millisecond
	dossiers        = 6
	dossierUsage    = "154000,840"
	dossierPause    = 300 * time.Millisecond
)

// playStop stops one entry VM, as the platform does, while its engines are busy and prompts wait
// in its queue. Each request that the entry VM has read must get a complete answer, which may be
// a refusal, unless an engine is at work on it at the end of the grace.
func playStop(wo *World, hasTrouble bool) (verdict, error) {
	engines, err := wo.startEngines(serviceModel, stopEngines, 3)
	if err != nil {
		return verdict{}, err
	}
	if _, err := wo.publish(Config{Version: 10, Keys: []string{keptKey}, MovedService: serviceCounter}); err != nil {
		return verdict{}, err
	}
	vms, err := wo.startVMs(3)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // until the entry VMs know each other

	sd := &sender{world: wo}
	for i := range longAnswers {
		sd.send(vms[1+i%2], "long answer", Call{
			Method: http.MethodPost, Path: "/long/2f", Key: keptKey, TimeLimit: 15 * time.Second, Body: make([]byte, 1200),
			Header: map[string]string{"X-Mulberrylever-Model": "m", "X-Mulberrylever-Token-Usage": longAnswerUsage, "X-Mulberrylever-Prefix-Hash": fmt.Sprintf("%08x:8000", i)},
		})
		time.Sleep(longAnswerPause)
	}
	stoppedAt := time.Now()
	if hasTrouble {
		vms[0].signal(syscall.SIGTERM)
		time.AfterFunc(boundGrace, vms[0].kill)
	}
	for i := range dossiers {
		time.Sleep(dossierPause)
		sd.send(vms[0], "dossier", Call{
			Method: http.MethodPost, Path: "/long/2f", Key: keptKey, TimeLimit: 15 * time.Second, Body: make([]byte, 38000),
			Header: map[string]string{"X-Mulberrylever-Model": "m", "X-Mulberrylever-Token-Usage": dossierUsage, "X-Mulberrylever-Prefix-Hash": fmt.Sprintf("%08x:154000", 100+i)},
		})
	}
	sd.wait()
	return sd.judge(engines, stoppedAt), nil
}

// sender sends requests, each on a connection of its own.
type sender struct {
	world *World
	wg    sync.WaitGroup
	mu    sync.Mutex
	sent  []sentCall
}

func (sd *sender) send(vm *VM, name string, ca Call) {
	sd.wg.Add(1)
	go func() {
		defer sd.wg.Done()
		sd.world.record("requester: sends a %s to %s", name, vm.Name)
		ou, err := vm.call(ca)
		if err != nil {
			sd.world.record("requester: %s not reached: %v", vm.Name, err)
			return
		}
		sd.world.record("requester: %s at %s: %s %.80q", name, vm.Name, ou, ou.Body)
		sd.mu.Lock()
		defer sd.mu.Unlock()
		sd.sent = append(sd.sent, sentCall{ca, ou, vm.Name})
	}()
}

func (sd *sender) wait() { sd.wg.Wait() }

// judge counts the requests whose connection ended without a complete answer although no engine
// had ever been at work on them.
func (sd *sender) judge(engines []*Engine, stoppedAt time.Time) verdict {
	hasRun := map[string]bool{}
	for _, en := range engines {
		for _, ru := range en.Runs() {
			hasRun[ru.Attempt] = true
		}
	}
	sent, lost := 0, 0
	for _, se := range sd.sent {
		if se.SentAt.Before(stoppedAt) {
			continue
		}
		sent++
		if se.IsCut && !hasRun[se.Attempt] && se.EndedAt.Sub(se.SentAt) > boundLossSlack {
			lost++
		}
	}
	return verdict{lost > 0, fmt.Sprintf(
		"of %d requests that were sent within 3 s after the signal, the connections of %d ended without an answer, later than %v after their last byte, and no engine had run them",
		sent, lost, boundLossSlack)}
}
