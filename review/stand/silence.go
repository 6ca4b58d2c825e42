//go:build review

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["silence"] = playSilence }

// The load of the case: long answers leave one place at two engines, as an entry VM keeps a slot of
// each engine free. A third engine, which was added last, answers short prompts until it reads a
// long one.
const (
	fullAnswers     = 2*(modelSlots-1) - 1
	fullAnswerUsage = "6000,9000"
	fullAnswerHint  = "9000"
	shortAnswers    = 10
	shortUsage      = "1000,4200"
	shortHint       = "4200"
	longPromptUsage = "120000,800"
)

// playSilence stops one entry VM, as the platform does. Meanwhile another one sends a long prompt
// to the engine that answers the requests of the first, so that the engine is silent for as long
// as it reads. No answer may end for that.
func playSilence(wo *World, hasTrouble bool) (verdict, error) {
	engines, err := wo.startEngines(serviceModel, 2, 3)
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

	prompt := func(path, usage string, i int) Call {
		limit := 10 * time.Second
		if path == "/long/2f" {
			limit = 15 * time.Second
		}
		return Call{
			Method: http.MethodPost, Path: path, Key: keptKey, TimeLimit: limit, Body: make([]byte, 1200),
			Header: map[string]string{"X-Mulberrylever-Model": "m", "X-Mulberrylever-Token-Usage": usage, "X-Mulberrylever-Prefix-Hash": fmt.Sprintf("%08x:1000", i)},
		}
	}
	sd := &sender{world: wo}
	for i := range fullAnswers {
		ca := prompt("/long/2f", fullAnswerUsage, i)
		ca.Header["X-Mulberrylever-Length-Hint"] = fullAnswerHint
		sd.send(vms[1+i%2], "long answer", ca)
		time.Sleep(50 * time.Millisecond)
	}
	added, err := wo.startEngines(serviceModel, 1, 20)
	if err != nil {
		return verdict{}, err
	}
	engines = append(engines, added...)
	time.Sleep(boundStability + 500*time.Millisecond) // all has long been calm again
	for i := range shortAnswers {
		ca := prompt("/short/2f", shortUsage, 100+i)
		ca.Header["X-Mulberrylever-Length-Hint"] = shortHint
		sd.send(vms[0], "short prompt", ca)
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(time.Second)
	stoppedAt := time.Now()
	vms[0].signal(syscall.SIGTERM)
	time.AfterFunc(boundGrace, vms[0].kill)
	if hasTrouble {
		sd.send(vms[1], "long prompt", prompt("/long/2f", longPromptUsage, 200))
	}
	sd.wait()
	return sd.judgeStop(vms[0], stoppedAt), nil
}

// judgeStop counts the requests that the entry VM has passed on and not answered in full, although
// neither their time limit nor the last sixth of the grace had come.
func (sd *sender) judgeStop(vm *VM, stoppedAt time.Time) verdict {
	sent, lost := 0, 0
	for _, se := range sd.sent {
		if se.vm != vm.Name {
			continue
		}
		sent++
		if se.IsCut && se.EndedAt.Sub(stoppedAt) < boundGrace*5/6 {
			lost++
		}
	}
	return verdict{lost > 0, fmt.Sprintf("of %d answers that a stopping process was passing on, %d ended in their middle, before the last sixth of the grace and their time limit", sent, lost)}
}
