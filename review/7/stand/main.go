//go:build review

// Command stand plays the platform, the servers and the requesters of case 7: the machines that read
// the store for the others are cut off from it, after configs in quick succession.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/mulberrylever/mulberrylever/review/6/rig"
)

const (
	numFronts  = 15
	idleRoutes = 1300
	// The configs come each stormGap for stormTime, numStorms times with a pause.
	stormGap, stormTime, numStorms, stormPause = 80 * time.Millisecond, 2 * time.Second, 2, time.Second / 2

	calmTime     = time.Second     // from the last of these configs to the cut
	configApply  = 2 * time.Second // bound on the time until a config is in force
	cutTime      = 12 * time.Second
	maxCut       = numFronts * 35 / 100 // machines
	watchTime    = cutTime - time.Second
	sendInterval = 250 * time.Millisecond
)

// day is what happened in a run.
type day struct {
	ri *rig.Rig

	mu             sync.Mutex
	ranAt          map[string]string // service that ran a request, by attempt id
	lateOld        int               // requests sent later than configApply after the acknowledgement that ran as only an older version allows
	served, failed int
	lastOld        time.Duration // after the acknowledgement, of the last of them
}

func main() {
	folder := flag.String("folder", "review/7", "folder of the case")
	flag.Parse()
	os.Exit(play(*folder))
}

func play(folder string) int {
	zones := []string{}
	for i := range numFronts {
		zones = append(zones, []string{"zone-a", "zone-b", "zone-c"}[i%3])
	}
	ri, err := rig.New(folder, zones...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return rig.CouldNotRun
	}
	defer ri.Close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		ri.Close()
		os.Exit(rig.CouldNotRun)
	}()
	da := &day{ri: ri, ranAt: make(map[string]string)}
	if err := da.play(); err != nil {
		ri.Record.Printf("could not run: %v", err)
		return rig.CouldNotRun
	}
	da.mu.Lock()
	defer da.mu.Unlock()
	ri.Record.Printf("after the change: %d requests were served, %d not; %d requests that were sent over %v after the acknowledgement ran as only an older version allows, the last was sent %v after it",
		da.served, da.failed, da.lateOld, configApply, da.lastOld)
	switch {
	case da.lateOld > 0:
		ri.Record.Printf("CONFIG is broken")
		return rig.Broken
	case da.served == 0:
		return rig.CouldNotRun
	}
	ri.Record.Printf("CONFIG held")
	return rig.Held
}

func (da *day) play() error {
	ri := da.ri
	for i, service := range []string{"office", "office", "archive", "archive"} {
		if err := da.startServer(i, service); err != nil {
			return err
		}
	}
	version := 1
	da.publish(version, "office")
	for _, fr := range ri.Fronts {
		if err := fr.Start(); err != nil {
			return err
		}
	}
	for _, fr := range ri.Fronts {
		if err := fr.WaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(12 * time.Second)
	for range numStorms {
		ri.Record.Printf("configs come each %v for %v", stormGap, stormTime)
		for until := time.Now().Add(stormTime); os.Getenv("STORM") != "0" && time.Now().Before(until); time.Sleep(stormGap) {
			version++
			da.publish(version, "office")
		}
		time.Sleep(stormPause)
	}
	time.Sleep(calmTime)
	fronts := ri.Fronts
	if rig.Trouble() {
		fronts = da.cut()
		time.Sleep(time.Second / 2)
	}
	version++
	da.publish(version, "archive")
	acknowledged := time.Now()
	ri.Record.Printf("version %d acknowledged: the route /moved/ goes to the service archive, and key-2 is taken away", version)
	wg := sync.WaitGroup{}
	for i, fr := range fronts {
		wg.Go(func() { da.request(fr, i, acknowledged) })
	}
	wg.Wait()
	return nil
}

// cut cuts the machines that wait for changes at the store off from it, within the share of all
// machines. It returns the others.
func (da *day) cut() []*rig.Front {
	others, n := []*rig.Front{}, 0
	for _, fr := range da.ri.Fronts {
		if n < maxCut && time.Since(fr.Gate.Waited("keyed.op")) < 3*time.Second {
			n++
			fr.Gate.Cut()
			time.AfterFunc(cutTime, fr.Gate.Heal)
			da.ri.Record.Printf("%s is cut off from the store for %v", fr.Name, cutTime)
			continue
		}
		others = append(others, fr)
	}
	return others
}

// publish writes a config, in which the route /moved/ goes to a service. The one with the service
// archive takes key-2 away.
func (da *day) publish(version int, service string) {
	routes := []map[string]any{{
		"name": "moved", "host": "app.example", "pathPrefix": "/moved/", "kind": "safe", "timeoutMs": 800, "targetLatencyMs": 300, "priority": 1, "service": service, "maxAttempts": 2, "public": false,
	}}
	for i := range idleRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-idle-%d", i), "host": "idle.example", "pathPrefix": fmt.Sprintf("/idle-%d-%d/", version, i), "kind": "safe", "timeoutMs": 800, "targetLatencyMs": 300, "priority": 1,
			"service": "office", "maxAttempts": 2, "public": false,
		})
	}
	keys := []string{"key-1", "key-2"}
	if service == "archive" {
		keys = keys[:1]
	}
	config := map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "office", "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0},
			{"name": "archive", "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "team", "apiKeys": keys, "priority": 1}},
	}
	if version == 1 {
		data, _ := json.Marshal(config)
		da.ri.Record.Printf("a config has %d bytes", len(data))
	}
	da.ri.Put("keyed.op", "config", config)
}

// startServer starts a server of a plain service, and writes its entry each heartbeat.
func (da *day) startServer(i int, service string) error {
	id := fmt.Sprintf("i-%d", i)
	address, err := da.ri.Serve("127.0.0.1:0", http.HandlerFunc(func(wr http.ResponseWriter, hr *http.Request) { da.serve(wr, hr, id, service) }))
	if err != nil {
		return err
	}
	born := time.Now().UnixMilli()
	beat := func(sequence int) {
		da.ri.Put("keyed.servers", id, map[string]any{
			"service": service, "address": address, "zone": []string{"zone-a", "zone-b", "zone-c"}[i%3], "version": "v1", "slots": 32, "state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": born,
		})
	}
	beat(1)
	go func() {
		for sequence := 2; ; sequence++ {
			time.Sleep(1200 * time.Millisecond)
			beat(sequence)
		}
	}()
	return nil
}

func (da *day) serve(wr http.ResponseWriter, hr *http.Request, id, service string) {
	attempt := hr.Header.Get("X-Mulberrylever-Attempt-Id")
	wr.Header().Set("X-Mulberrylever-Attempt-Id", attempt)
	if hr.Header.Get("X-Mulberrylever-Target-Instance") != id {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	da.mu.Lock()
	da.ranAt[attempt] = service
	da.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	wr.Header().Set("X-Mulberrylever-Response-Seal", "seal."+attempt)
	_, _ = io.WriteString(wr, "done by "+service)
}

// request sends requests on the moved route to a front, with the key that stays and the one that is
// taken away.
func (da *day) request(fr *rig.Front, number int, acknowledged time.Time) {
	client := http.Client{Timeout: 1500 * time.Millisecond}
	for n := 0; time.Since(acknowledged) < watchTime; n++ {
		for _, key := range []string{"key-1", "key-2"} {
			id := fmt.Sprintf("q-%d-%d-%s", number, n, key)
			sent := time.Since(acknowledged)
			da.judge(fr, id, key, sent, send(&client, fr, id, key))
		}
		time.Sleep(sendInterval)
	}
}

// send sends a request and returns the status of the answer, or 0 without one.
func send(client *http.Client, fr *rig.Front, id, key string) int {
	rq, err := http.NewRequest(http.MethodGet, "http://"+fr.Address()+"/moved/x", nil)
	if err != nil {
		panic(err)
	}
	rq.Host = "app.example"
	rq.Header.Set("Authorization", "Bearer "+key)
	rq.Header.Set("X-Mulberrylever-Attempt-Id", id)
	rq.Header.Set("X-Mulberrylever-Deadline-Ms", "1500")
	rs, err := client.Do(rq)
	if err != nil {
		return 0
	}
	defer rs.Body.Close()
	_, _ = io.Copy(io.Discard, rs.Body)
	return rs.StatusCode
}

// judge records a request that was sent at a time after the acknowledgement.
func (da *day) judge(fr *rig.Front, id, key string, sent time.Duration, status int) {
	da.mu.Lock()
	defer da.mu.Unlock()
	service := da.ranAt[id]
	da.ri.Record.Printf("request %s sent to %s %.2f s after the acknowledgement: status %d, run by %q", id, fr.Name, sent.Seconds(), status, service)
	if status == http.StatusOK {
		da.served++
	} else {
		da.failed++
	}
	isOld := service == "office" || service != "" && key == "key-2"
	if !isOld || sent <= configApply {
		return
	}
	da.lateOld++
	da.lastOld = max(da.lastOld, sent)
}
