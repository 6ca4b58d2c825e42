//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["ticket"] = playTicket }

const (
	ticketEngines = 14
	hugePrompt    = "400000,2000"
	// restartDelay is the time after which the platform starts a killed process again.
	restartDelay = 300 * time.Millisecond
	ticketWork   = 2500 * time.Millisecond // of the first prompt before the process is killed
)

// playTicket kills an entry VM's process while a group of engines answers a huge prompt, whose
// lead does not drop a request when its connection closes. The process that is started again gets
// another huge prompt. No ticket may be used by both.
func playTicket(wo *World, hasTrouble bool) (verdict, error) {
	engines, err := wo.startEngines(serviceModel, ticketEngines, 3)
	if err != nil {
		return verdict{}, err
	}
	for _, en := range engines {
		en.KeepsWorking = true
	}
	if _, err := wo.publish(Config{Version: 10, Keys: []string{keptKey}, MovedService: serviceCounter}); err != nil {
		return verdict{}, err
	}
	vms, err := wo.startVMs(6)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // until the entry VMs know each other

	wg := sync.WaitGroup{}
	send := func(i int) {
		ou, err := vms[0].call(Call{
			Method: http.MethodPost, Path: "/long/2f", Key: keptKey, TimeLimit: 15 * time.Second, Body: make([]byte, 150_000),
			Header: map[string]string{"X-Mulberrylever-Model": "m", "X-Mulberrylever-Token-Usage": hugePrompt, "X-Mulberrylever-Prefix-Hash": fmt.Sprintf("%08x:400000", i)},
		})
		if err != nil {
			wo.record("requester: %s not reached: %v", vms[0].Name, err)
			return
		}
		wo.record("requester: prompt %d at %s: %s %.80q", i, vms[0].Name, ou, ou.Body)
	}
	wg.Go(func() { send(1) })
	time.Sleep(ticketWork)
	if hasTrouble {
		vms[0].signal(syscall.SIGKILL)
		<-vms[0].ended
		time.Sleep(restartDelay)
		if err := vms[0].writeSettings(zones[0], vms, false); err != nil {
			return verdict{}, err
		}
		if err := vms[0].begin(); err != nil {
			return verdict{}, err
		}
		if err := vms[0].waitReady(); err != nil {
			return verdict{}, err
		}
		wo.record("%s is ready again", vms[0].Name)
	}
	wg.Go(func() { send(2) })
	wg.Wait()
	all := []string{}
	for _, en := range engines {
		all = append(all, en.Shared()...)
	}
	for _, text := range all {
		wo.record("%s", text)
	}
	if len(all) == 0 {
		return verdict{false, "no ticket was used by two requests at the same time"}, nil
	}
	return verdict{true, fmt.Sprintf("%d tickets were used by two requests at the same time; the first: %s", len(all), all[0])}, nil
}
