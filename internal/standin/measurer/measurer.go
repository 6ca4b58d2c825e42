// Package measurer measures how the state, the messages and the processor time of
// one entry VM grow with the fleet. It measures each quantity at several sizes and
// fits a straight line.
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

// Measurement holds the values of one quantity at several sizes.
type Measurement struct {
	Name   string
	Unit   string
	Sizes  []int
	Values []float64
}

// fitLine returns the least-squares line through the values and the largest
// deviation from it, in percent of the largest value.
func (me Measurement) fitLine() (base, slope, deviation float64) {
	n := float64(len(me.Sizes))
	var sumX, sumY, sumXX, sumXY, maxValue float64
	for i, size := range me.Sizes {
		x, y := float64(size), me.Values[i]
		sumX, sumY, sumXX, sumXY, maxValue = sumX+x, sumY+y, sumXX+x*x, sumXY+x*y, max(maxValue, y)
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	base = (sumY - slope*sumX) / n
	const percent = 100
	for i, size := range me.Sizes {
		deviation = max(deviation, percent*math.Abs(me.Values[i]-base-slope*float64(size))/max(maxValue, 1e-9))
	}
	return base, slope, deviation
}

// Write measures all quantities and writes them as a table.
func Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "QUANTITY\tUNIT\tSIZES\tVALUES\tBASE\tPER ITEM\tLARGEST DEVIATION %")
	for _, me := range measure() {
		base, slope, deviation := me.fitLine()
		fmt.Fprintf(tw, "%s\t%s\t%v\t%.1f\t%.1f\t%.4f\t%.0f\n", me.Name, me.Unit, me.Sizes, me.Values, base, slope, deviation)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	return nil
}

// measure returns the measurements of all quantities.
func measure() []Measurement {
	fleetSizes, ownedCounts, domainSizes := []int{100, 1000, 6500}, []int{1, 4, 16}, []int{2, 20, 190}
	return []Measurement{
		measureSizes("heartbeat by endpoints owned", "bytes", ownedCounts, func(n int) float64 { return encodedBytes(heartbeat(n)) }),
		measureSizes("heartbeat, encode and decode, by endpoints owned", "us", ownedCounts, heartbeatCodecMicros),
		measureSizes("heartbeat sent and answered, by endpoints owned", "bytes", ownedCounts, heartbeatExchangeBytes),
		measureSizes("list of VMs by endpoints", "bytes", fleetSizes, func(n int) float64 { return encodedBytes(vmList(n)) }),
		measureSizes("list of VMs, decode, by endpoints", "us", fleetSizes, decodeVMListMicros),
		measureSizes("routing table by endpoints", "bytes", fleetSizes, func(n int) float64 { return heapBytes(func() any { return routingTable(n) }) }),
		measureSizes("renewal of the view by members of a domain", "us", domainSizes, viewRenewalMicros),
		measureSizes("granter's pass by requests waiting", "us", []int{10, 50, 250}, granterPassMicros),
		measureSizes("fleet state by exceptions", "bytes", []int{1, 20, 200}, func(n int) float64 { return encodedBytes(fleetState(n)) }),
		measureSizes("claims by keys kept", "bytes", []int{1000, 10_000, 50_000}, func(n int) float64 { return heapBytes(func() any { return claimState(n) }) }),
		measureSizes("fold of one claim, by keys kept", "us", []int{1000, 10_000, 50_000}, applyClaimMicros),
		measureSizes("counts of objectives, three days, by teams seen in a quarter of an hour", "bytes", []int{10, 100, 1000}, func(n int) float64 { return heapBytes(func() any { return burnCounts(n) }) }),
		measureSizes("keeping of the list of VMs when one has changed, by endpoints", "us", fleetSizes, updateVMListMicros),
	}
}

// measureSizes measures a quantity at each size.
func measureSizes(name, unit string, sizes []int, value func(n int) float64) Measurement {
	me := Measurement{Name: name, Unit: unit, Sizes: sizes}
	for _, n := range sizes {
		me.Values = append(me.Values, value(n))
	}
	return me
}

// encodedBytes returns the length of a value's JSON encoding.
func encodedBytes(body any) float64 {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

// heapBytes returns the heap memory that the value returned by produce occupies.
func heapBytes(produce func() any) float64 {
	before, after := runtime.MemStats{}, runtime.MemStats{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := produce()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// microsPerCall returns the mean duration of a call in microseconds.
func microsPerCall(calls int, call func()) float64 {
	start := time.Now()
	for range calls {
		call()
	}
	return float64(time.Since(start).Nanoseconds()) / 1000 / float64(calls)
}

// endpoint returns an engine with fields of realistic length.
func endpoint(i int) ml.Endpoint {
	return ml.Endpoint{
		ID: ml.EndpointID(fmt.Sprintf("region-1-domain-3-engine-%05d", i)), Domain: "region-1-domain-3", Kind: ml.KindEngine,
		Address: "10.31.244.117:8000", Model: ml.ModelID(fmt.Sprintf("model-%02d", i%23)), Memory: 400_000, MaxRequests: 32,
		ColdRequests: 2, ColdTokens: 16_000, State: ml.StateLive,
	}
}

// load returns a realistic load of an endpoint.
func load() ml.EndpointLoad {
	return ml.EndpointLoad{Requests: 17, Waiting: 4, Window: 32, PrefillAhead: [ml.NumLengths]ml.Tokens{2123, 9123, 81_234, 81_234}, Memory: 212_345, LongPrompts: 1, PrefillRate: 100_000, MeanServiceMs: 812}
}

// heartbeat returns a heartbeat of an entry VM that owns n endpoints.
func heartbeat(n int) ml.Heartbeat {
	hb := ml.Heartbeat{From: "region-1-domain-3-entry-117", Domain: "region-1-domain-3", Address: "10.31.244.117:8081", Version: 123_456_789}
	for i := range n {
		hb.Loads = append(hb.Loads, ml.OwnedLoad{Endpoint: endpoint(i).ID, Load: load()})
	}
	return hb
}

// heartbeatExchangeBytes returns the size of a heartbeat and its answer, including the
// JSON-RPC envelopes and the length prefixes.
func heartbeatExchangeBytes(n int) float64 {
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
	return encodedBytes(call) + encodedBytes(answer) + 2*lengthBytes
}

// heartbeatCodecMicros measures encoding and decoding a heartbeat for n endpoints.
func heartbeatCodecMicros(n int) float64 {
	hb := heartbeat(n)
	return microsPerCall(5000, func() {
		data, _ := json.Marshal(hb)
		out := ml.Heartbeat{}
		_ = json.Unmarshal(data, &out)
	})
}

// vmList returns a list of VMs with n endpoints.
func vmList(n int) ml.VMs {
	vms := ml.VMs{}
	for i := range n {
		vms.Endpoints = append(vms.Endpoints, endpoint(i))
	}
	return vms
}

// decodeVMListMicros measures decoding a list of VMs with n endpoints.
func decodeVMListMicros(n int) float64 {
	data, _ := json.Marshal(vmList(n))
	return microsPerCall(20, func() {
		out := ml.VMs{}
		_ = json.Unmarshal(data, &out)
	})
}

// routingTable returns a routing table of n endpoints.
func routingTable(n int) *router.Table {
	ta := router.NewTable("home", router.Predicted{}, 4, 1)
	now := time.Now()
	for i := range n {
		ta.Update(now, endpoint(i), "region-1-domain-3-entry-117", load())
	}
	return ta
}

// viewRenewalMicros measures a tick of the lessor and the update of ownership in a
// domain with n members.
func viewRenewalMicros(n int) float64 {
	le := lessor.Lessor{Self: "self", Timing: ml.DefaultTiming()}
	now := time.Now()
	owned := []ml.EndpointID{}
	const endpointsPerDomain = 650
	for i := range endpointsPerDomain {
		owned = append(owned, endpoint(i).ID)
	}
	for i := range n {
		le.RecordHeartbeat(now, ml.VMID(fmt.Sprintf("entry-%03d", i)), false)
	}
	return microsPerCall(20, func() {
		le.Tick(now)
		le.UpdateOwnership(now, owned)
	})
}

// granterPassMicros measures the search for the next grant with n queued requests.
func granterPassMicros(n int) float64 {
	gr := granter.New(endpoint(0), ml.DefaultTiming(), 0.7)
	now := time.Now()
	for i := range n {
		_ = gr.Enqueue(now, granter.Request{
			ID: ml.GrantID(fmt.Sprint(i)), Team: ml.TeamID(fmt.Sprint(i % 20)), Prompt: 300_000, Memory: 300_000,
			Deadline: now.Add(time.Hour),
		})
	}
	return microsPerCall(200, func() { _, _ = gr.GrantNext(now) })
}

// fleetState returns the fleet state with n exceptions.
func fleetState(n int) *folder.Fleet {
	fl := folder.NewFleet()
	for i := range n {
		fl.Exceptions = append(fl.Exceptions, configurer.Exception{
			Scope: "team", Name: fmt.Sprintf("team-%04d", i), Field: "weight", Value: json.RawMessage("3"),
			Reason: "agreed with the team for the quarter", By: "operator", At: time.Unix(1, 0),
		})
	}
	return fl
}

// claimRecord returns the log record of the i-th claim.
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

// claimState returns a state machine with n claims.
func claimState(n int) *folder.StateMachine {
	sm := &folder.StateMachine{}
	for i := range n {
		applyClaim(sm, i)
	}
	return sm
}

// applyClaim applies the record of the i-th claim.
func applyClaim(sm *folder.StateMachine, i int) {
	re := claimRecord(i)
	if err := sm.ApplyPage(ml.LogPage{First: 1, Next: re.Offset + 1, End: re.Offset + 1, Records: []ml.Record{re}}); err != nil {
		panic(err)
	}
}

// applyClaimMicros measures applying a claim to a state of n claims.
func applyClaimMicros(n int) float64 {
	sm := claimState(n)
	return microsPerCall(2000, func() {
		applyClaim(sm, n)
		n++
	})
}

// burnCounts returns the counts of all objectives for a number of teams in every
// quarter of an hour of three days.
func burnCounts(teams int) *burner.Burner {
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

// updateVMListMicros measures replacing the list of VMs with n endpoints, as after the
// change of one VM.
func updateVMListMicros(n int) float64 {
	ke, vms := &keeper.Keeper{}, vmList(n)
	return microsPerCall(20, func() { ke.SetVMs(vms) })
}
