// Package fleetreader reads the file that describes a fleet of stand-ins: the
// VMs that the platform lists and how each stand-in behaves.
package fleetreader

import (
	"fmt"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/setting/parser"
)

// EngineConfig tells how a stand-in engine behaves.
type EngineConfig struct {
	PrefillRate       float64 `json:"prefillRate"`     // prompt tokens a second
	ChunkTokens       int     `json:"chunkTokens"`     // prompt tokens processed in one step
	StepMicros        int     `json:"stepMicros"`      // length of a step with an empty batch
	SequenceMicros    int     `json:"sequenceMicros"`  // added for each running sequence
	WarmAfter         int     `json:"warmAfter"`       // answers until the engine is warm
	CacheTokens       int64   `json:"cacheTokens"`     // prefix cache capacity
	EventDelayMs      int     `json:"eventDelayMs"`    // age of published cache events
	EventLossEvery    int     `json:"eventLossEvery"`  // every n-th cache event is lost; 0 for none
	LoadLagMs         int     `json:"loadLagMs"`       // age of load reports
	StreamRetentionMs int     `json:"lingerMs"`        // finished streams can be resumed for this long
	WakeMs            int     `json:"wakeMs"`          // from the order to wake until it answers
	WeightsMegabyte   int     `json:"weightsMegabyte"` // fetched from the weight store on waking
}

// PlatformConfig tells how the stand-in platform behaves.
type PlatformConfig struct {
	Address          string  `json:"address"`
	AppendsPerSecond float64 `json:"appendsPerSecond"`
	RetentionMs      int64   `json:"retentionMs"`
	ListLagMs        int64   `json:"listLagMs"`
	WeightsPerSecond float64 `json:"weightsPerSecond"` // megabytes a second
}

// Fleet is the content of a fleet file.
type Fleet struct {
	Platform PlatformConfig `json:"platform"`
	Engine   EngineConfig   `json:"engine"`
	Asleep   []string       `json:"asleep"` // endpoints switched off at the start
	VMs      ml.VMs         `json:"vms"`
}

// Read reads the fleet file at path.
func Read(path string) (Fleet, error) {
	fl := Fleet{}
	if err := parser.ParseFile(path, &fl); err != nil {
		return fl, fmt.Errorf("read fleet: %w", err)
	}
	fl.fill()
	return fl, nil
}

// Endpoint returns the endpoint named id.
func (fl Fleet) Endpoint(id ml.EndpointID) (ml.Endpoint, error) {
	for _, ep := range fl.VMs.Endpoints {
		if ep.ID == id {
			return ep, nil
		}
	}
	return ml.Endpoint{}, fmt.Errorf("endpoint %q is not in the fleet file", id)
}

func (fl *Fleet) fill() {
	fill(&fl.Platform.AppendsPerSecond, 400)
	fill(&fl.Platform.RetentionMs, 24*3600*1000)
	fill(&fl.Platform.ListLagMs, 1000)
	fill(&fl.Platform.WeightsPerSecond, 2000)
	fill(&fl.Engine.PrefillRate, 100_000)
	fill(&fl.Engine.ChunkTokens, 1024)
	fill(&fl.Engine.StepMicros, 8000)
	fill(&fl.Engine.SequenceMicros, 100)
	fill(&fl.Engine.WarmAfter, 4)
	fill(&fl.Engine.CacheTokens, 60_000)
	fill(&fl.Engine.EventDelayMs, 500)
	fill(&fl.Engine.LoadLagMs, 500)
	fill(&fl.Engine.StreamRetentionMs, 10_000)
	fill(&fl.Engine.WakeMs, 1000)
	fill(&fl.Engine.WeightsMegabyte, 1000)
	for i := range fl.VMs.Endpoints {
		fillEndpoint(&fl.VMs.Endpoints[i])
	}
}

func fillEndpoint(ep *ml.Endpoint) {
	fill(&ep.MaxRequests, 32)
	fill(&ep.ColdRequests, 2)
	if ep.Kind == ml.KindEngine {
		fill(&ep.ColdTokens, 16_000)
	}
}

func fill[T int | int64 | float64 | ml.Tokens](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
