// Package fleetreader reads the file that describes a fleet of stand-ins for demos
// and tests: the VMs that the platform lists and how each stand-in behaves.
package fleetreader

import (
	"fmt"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/setting/parser"
)

// EngineConfig configures the behavior of a stand-in engine.
type EngineConfig struct {
	PrefillRate            float64 `json:"prefillRate"`     // prompt tokens per second
	ChunkTokens            int     `json:"chunkTokens"`     // maximum prompt tokens processed in one step
	BaseStepMicros         int     `json:"stepMicros"`      // duration of a step with an empty batch
	StepMicrosPerSequence  int     `json:"sequenceMicros"`  // added to a step for each sequence that produces a token
	WarmAfterAnswers       int     `json:"warmAfter"`       // completed answers after which the engine is warm
	CacheTokens            int64   `json:"cacheTokens"`     // prefix cache capacity
	CacheEventDelayMs      int     `json:"eventDelayMs"`    // minimum age of published cache events
	DropEveryNthCacheEvent int     `json:"eventLossEvery"`  // drops every n-th cache event, 0 for none
	LoadLagMs              int     `json:"loadLagMs"`       // age of the load reports
	StreamRetentionMs      int     `json:"lingerMs"`        // how long a finished stream can be resumed
	WakeDelayMs            int     `json:"wakeMs"`          // delay after the weights are fetched until the engine serves
	WeightsMB              int     `json:"weightsMegabyte"` // size of the weights fetched on waking
}

// PlatformConfig configures the behavior of the stand-in platform.
type PlatformConfig struct {
	Address            string  `json:"address"`
	AppendsPerSecond   float64 `json:"appendsPerSecond"` // rate limit of the log
	RetentionMs        int64   `json:"retentionMs"`      // of log records
	ListLagMs          int64   `json:"listLagMs"`        // age of the list of VMs
	WeightsMBPerSecond float64 `json:"weightsPerSecond"` // shared by all engines
}

// Fleet is the content of a fleet file.
type Fleet struct {
	Platform        PlatformConfig `json:"platform"`
	Engine          EngineConfig   `json:"engine"`
	InitiallyAsleep []string       `json:"asleep"` // ids of endpoints that start switched off
	VMs             ml.VMs         `json:"vms"`
}

// Read reads the fleet file at path and applies the defaults.
func Read(path string) (Fleet, error) {
	fl := Fleet{}
	if err := parser.ParseFile(path, &fl); err != nil {
		return fl, fmt.Errorf("read fleet: %w", err)
	}
	fl.applyDefaults()
	return fl, nil
}

// Endpoint returns the endpoint with an id.
func (fl Fleet) Endpoint(id ml.EndpointID) (ml.Endpoint, error) {
	for _, ep := range fl.VMs.Endpoints {
		if ep.ID == id {
			return ep, nil
		}
	}
	return ml.Endpoint{}, fmt.Errorf("endpoint %q is not in the fleet file", id)
}

// applyDefaults replaces zero values by the defaults. A zero cannot be configured
// for these fields.
func (fl *Fleet) applyDefaults() {
	setDefault(&fl.Platform.AppendsPerSecond, 400)
	setDefault(&fl.Platform.RetentionMs, 24*3600*1000)
	setDefault(&fl.Platform.ListLagMs, 1000)
	setDefault(&fl.Platform.WeightsMBPerSecond, 2000)
	setDefault(&fl.Engine.PrefillRate, 100_000)
	setDefault(&fl.Engine.ChunkTokens, 1024)
	setDefault(&fl.Engine.BaseStepMicros, 8000)
	setDefault(&fl.Engine.StepMicrosPerSequence, 100)
	setDefault(&fl.Engine.WarmAfterAnswers, 4)
	setDefault(&fl.Engine.CacheTokens, 60_000)
	setDefault(&fl.Engine.CacheEventDelayMs, 500)
	setDefault(&fl.Engine.LoadLagMs, 500)
	setDefault(&fl.Engine.StreamRetentionMs, 10_000)
	setDefault(&fl.Engine.WakeDelayMs, 1000)
	setDefault(&fl.Engine.WeightsMB, 1000)
	for i := range fl.VMs.Endpoints {
		applyEndpointDefaults(&fl.VMs.Endpoints[i])
	}
}

// applyEndpointDefaults replaces zero limits by the defaults.
func applyEndpointDefaults(ep *ml.Endpoint) {
	setDefault(&ep.MaxRequests, 32)
	setDefault(&ep.ColdRequests, 2)
	if ep.Kind == ml.KindEngine {
		setDefault(&ep.ColdTokens, 16_000)
	}
}

// setDefault sets a field to value if it is zero.
func setDefault[T int | int64 | float64 | ml.Tokens](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
