// Package measurer measures how state, messages and processor time of one node
// grow with the fleet: each at several sizes, with a straight line fitted.
package measurer

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"runtime"
	"text/tabwriter"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/granter"
	"github.com/mulberrylever/mulberrylever/internal/decision/lessor"
	"github.com/mulberrylever/mulberrylever/internal/decision/router"
	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/state/burner"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
	"github.com/mulberrylever/mulberrylever/internal/state/keeper"
)

// Slope is one measured quantity.
type Slope struct {
	Name   string
	Unit   string
	Sizes  []int
	Values []float64
}

// fit returns the least-squares line and the largest deviation from it, in
// per cent of the largest value.
func (sl Slope) fit() (base, slope, spread float64) {
	n := float64(len(sl.Sizes))
	var sx, sy, sxx, sxy, top float64
	for i, size := range sl.Sizes {
		x, y := float64(size), sl.Values[i]
		sx, sy, sxx, sxy, top = sx+x, sy+y, sxx+x*x, sxy+x*y, max(top, y)
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	base = (sy - slope*sx) / n
	const all = 100
	for i, size := range sl.Sizes {
		spread = max(spread, all*math.Abs(sl.Values[i]-base-slope*float64(size))/max(top, 1e-9))
	}
	return base, slope, spread
}

// Write measures everything and writes the table.
func Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "QUANTITY\tUNIT\tSIZES\tVALUES\tBASE\tPER ITEM\tLARGEST DEVIATION %")
	for _, sl := range measure() {
		base, slope, spread := sl.fit()
		fmt.Fprintf(tw, "%s\t%s\t%v\t%.1f\t%.1f\t%.4f\t%.0f\n", sl.Name, sl.Unit, sl.Sizes, sl.Values, base, slope, spread)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	return nil
}

func measure() []Slope {
	fleet, few, members := []int{100, 1000, 6500}, []int{1, 4, 16}, []int{2, 20, 190}
	return []Slope{
		over("heartbeat by endpoints owned", "bytes", few, func(n int) float64 { return encoded(heartbeat(n)) }),
		over("heartbeat, encode and decode, by endpoints owned", "us", few, codec),
		over("heartbeat sent and answered, by endpoints owned", "bytes", few, exchange),
		over("list of VMs by endpoints", "bytes", fleet, func(n int) float64 { return encoded(list(n)) }),
		over("list of VMs, decode, by endpoints", "us", fleet, decodeList),
		over("routing table by endpoints", "bytes", fleet, func(n int) float64 { return held(func() any { return table(n) }) }),
		over("renewal of the view by members of a domain", "us", members, renewal),
		over("granter's pass by requests waiting", "us", []int{10, 50, 250}, pass),
		over("fleet state by exceptions", "bytes", []int{1, 20, 200}, func(n int) float64 { return encoded(state(n)) }),
		over("claims by keys kept", "bytes", []int{1000, 10_000, 50_000}, func(n int) float64 { return held(func() any { return claims(n) }) }),
		over("fold of one claim, by keys kept", "us", []int{1000, 10_000, 50_000}, foldClaim),
		over("counts of objectives, three days, by teams seen in a quarter of an hour", "bytes", []int{10, 100, 1000}, func(n int) float64 { return held(func() any { return counts(n) }) }),
		over("keeping of the list of VMs when one has changed, by endpoints", "us", fleet, keep),
	}
}

func over(name, unit string, sizes []int, value func(n int) float64) Slope {
	sl := Slope{Name: name, Unit: unit, Sizes: sizes}
	for _, n := range sizes {
		sl.Values = append(sl.Values, value(n))
	}
	return sl
}

func encoded(body any) float64 {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

// held returns the memory that what make returns keeps, in bytes.
func held(produce func() any) float64 {
	before, after := runtime.MemStats{}, runtime.MemStats{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := produce()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// micros returns the time of one call, in microseconds, over many.
func micros(times int, call func()) float64 {
	start := time.Now()
	for range times {
		call()
	}
	return float64(time.Since(start).Nanoseconds()) / 1000 / float64(times)
}

func endpoint(i int) ml.Endpoint {
	return ml.Endpoint{
		ID: ml.EndpointID(fmt.Sprintf("region-1-domain-3-engine-%05d", i)), Domain: "region-1-domain-3", Kind: ml.KindEngine,
		Address: "10.31.244.117:8000", Model: ml.ModelID(fmt.Sprintf("model-%02d", i%23)), Memory: 400_000, MaxRequests: 32,
		ColdRequests: 2, ColdTokens: 16_000, State: ml.StateLive,
	}
}

func load() ml.EndpointLoad {
	return ml.EndpointLoad{Requests: 17, Waiting: 4, Window: 32, PrefillAhead: [ml.NumLengths]ml.Tokens{2123, 9123, 81_234, 81_234}, Memory: 212_345, LongPrompts: 1, PrefillRate: 100_000, MeanServiceMs: 812}
}

func heartbeat(n int) ml.Heartbeat {
	hb := ml.Heartbeat{From: "region-1-domain-3-entry-117", Domain: "region-1-domain-3", Address: "10.31.244.117:8081", Version: 123_456_789}
	for i := range n {
		hb.Loads = append(hb.Loads, ml.OwnedLoad{Endpoint: endpoint(i).ID, Load: load()})
	}
	return hb
}

// exchange returns the bytes of a heartbeat and its answer with what JSON-RPC
// adds to them.
func exchange(n int) float64 {
	const version = "2.0"
	call := struct {
		Version string       `json:"jsonrpc"`
		Method  string       `json:"method"`
		ID      uint64       `json:"id"`
		Params  ml.Heartbeat `json:"params"`
	}{version, "heartbeat", 123_456, heartbeat(n)}
	answer := struct {
		Version string          `json:"jsonrpc"`
		ID      uint64          `json:"id"`
		Result  ml.HeartbeatAck `json:"result"`
	}{version, 123_456, ml.HeartbeatAck{Version: 123_456_789, Clock: time.Hour}}
	const lengthBytes = 2 // before each message
	return encoded(call) + encoded(answer) + 2*lengthBytes
}

func codec(n int) float64 {
	hb := heartbeat(n)
	return micros(5000, func() {
		data, _ := json.Marshal(hb)
		out := ml.Heartbeat{}
		_ = json.Unmarshal(data, &out)
	})
}

func list(n int) ml.VMs {
	vms := ml.VMs{}
	for i := range n {
		vms.Endpoints = append(vms.Endpoints, endpoint(i))
	}
	return vms
}

func decodeList(n int) float64 {
	data, _ := json.Marshal(list(n))
	return micros(20, func() {
		out := ml.VMs{}
		_ = json.Unmarshal(data, &out)
	})
}

func table(n int) *router.Table {
	ta := router.NewTable("home", router.Predicted{}, 4, 1)
	now := time.Now()
	for i := range n {
		ta.Update(now, endpoint(i), "region-1-domain-3-entry-117", load())
	}
	return ta
}

func renewal(n int) float64 {
	le := lessor.Lessor{Self: "self", Timing: ml.DefaultTiming()}
	now := time.Now()
	owned := []ml.EndpointID{}
	const perDomain = 650
	for i := range perDomain {
		owned = append(owned, endpoint(i).ID)
	}
	for i := range n {
		le.RecordHeartbeat(now, ml.VMID(fmt.Sprintf("entry-%03d", i)), false)
	}
	return micros(20, func() {
		le.Tick(now)
		le.UpdateOwnership(now, owned)
	})
}

func pass(n int) float64 {
	gr := granter.New(endpoint(0), ml.DefaultTiming(), 0.7)
	now := time.Now()
	for i := range n {
		_ = gr.Enqueue(now, granter.Request{
			ID: ml.GrantID(fmt.Sprint(i)), Team: ml.TeamID(fmt.Sprint(i % 20)), Prompt: 300_000, Memory: 300_000,
			Deadline: now.Add(time.Hour),
		})
	}
	return micros(200, func() { _, _ = gr.GrantNext(now) })
}

func state(n int) *folder.Fleet {
	fl := folder.NewFleet()
	for i := range n {
		fl.Exceptions = append(fl.Exceptions, configurer.Exception{
			Scope: "team", Name: fmt.Sprintf("team-%04d", i), Field: "weight", Value: json.RawMessage("3"),
			Reason: "agreed with the team for the quarter", By: "operator", At: time.Unix(1, 0),
		})
	}
	return fl
}

func claimRecord(i int) ml.Record {
	re, err := folder.NewRecord(fmt.Sprintf("claim/%d", i), folder.KindClaim, folder.Claim{
		Key: fmt.Sprintf("team-0123/bookings/0190c7d2-7c1e-7aaa-8000-%012d", i), Attempt: ml.GrantID(fmt.Sprintf("0190c7d2-7c1e-4aaa-8000-%012d", i)),
		VM: "region-1-domain-3-entry-117", CallHash: 123_456_789, TTLMs: 3_600_000, AttemptTimeoutMs: 10_000,
	})
	if err != nil {
		panic(err)
	}
	re.Offset, re.Time = ml.Offset(i+1), time.Unix(1_700_000_000, 0)
	return re
}

func claims(n int) *folder.StateMachine {
	fo := &folder.StateMachine{}
	for i := range n {
		fold(fo, i)
	}
	return fo
}

func fold(fo *folder.StateMachine, i int) {
	re := claimRecord(i)
	if err := fo.ApplyPage(ml.LogPage{First: 1, Next: re.Offset + 1, End: re.Offset + 1, Records: []ml.Record{re}}); err != nil {
		panic(err)
	}
}

func foldClaim(n int) float64 {
	fo := claims(n)
	return micros(2000, func() {
		fold(fo, n)
		n++
	})
}

// counts counts for as many teams in each quarter of an hour of three days.
func counts(teams int) *burner.Burner {
	bu := &burner.Burner{}
	const quarter, days = 15 * time.Minute, 3
	start := time.Unix(1_700_000_000, 0)
	for at := time.Duration(0); at < days*24*time.Hour; at += quarter {
		for i := range teams {
			ke := burner.Key{Team: ml.TeamID(fmt.Sprintf("team-%04d", i)), Domain: "region-1-domain-3", Length: ml.Length(i % ml.NumLengths).String()}
			for _, ke.Objective = range []burner.Objective{burner.TTFT, burner.InterToken, burner.Success} {
				bu.Add(start.Add(at), ke, true)
			}
		}
	}
	return bu
}

// keep returns the time for taking over a list in which a VM has changed.
func keep(n int) float64 {
	ke, vms := &keeper.Keeper{}, list(n)
	return micros(20, func() { ke.SetVMs(vms) })
}
