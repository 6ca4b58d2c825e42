package configurer

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/setting/parser"
)

// Exception replaces one default for one team or service.
type Exception struct {
	Scope  string          `json:"scope"` // "team", "service" or "objectives"
	Name   string          `json:"name"`  // of the team or service; of the team for objectives
	Field  string          `json:"field"` // a field of the scope's defaults
	Value  json.RawMessage `json:"value"`
	Reason string          `json:"reason"`
	By     string          `json:"by"`
	At     time.Time       `json:"at"` // assigned by the log
}

// Key identifies the default that the exception replaces. An exception replaces
// an earlier one with the same key.
func (ex Exception) Key() string { return ex.Scope + "/" + ex.Name + "/" + ex.Field }

// fieldsByScope lists the fields that exceptions may replace.
var fieldsByScope = map[string][]string{
	"team":       {"weight", "maxInFlight", "maxPrompt"},
	"service":    {"idempotent", "timeoutMs"},
	"objectives": {"ttftMs", "betweenTokensMs"},
}

// Check returns everything wrong with the exception.
func (ex Exception) Check() parser.Faults {
	va := validator{}
	fields, known := fieldsByScope[ex.Scope]
	switch {
	case !known:
		va.add("scope", ex.Scope, "must be team, service or objectives")
	case !slices.Contains(fields, ex.Field):
		va.add("field", ex.Field, "must be one of %s", strings.Join(fields, ", "))
	default:
		va.faults = append(va.faults, ex.checkValue()...)
	}
	if strings.TrimSpace(ex.Name) == "" {
		va.add("name", ex.Name, "must not be empty")
	}
	if strings.TrimSpace(ex.Reason) == "" {
		va.add("reason", ex.Reason, "a written reason is required")
	}
	return va.faults
}

func (ex Exception) checkValue() parser.Faults {
	co := Default()
	if err := ex.apply(&co); err != nil {
		return parser.Faults{{Field: ex.Field, Value: string(ex.Value), Message: "unusable value"}}
	}
	return co.Check()
}

// apply writes the exception's value into the scope's defaults in co.
func (ex Exception) apply(co *Config) error {
	patch, err := json.Marshal(map[string]json.RawMessage{ex.Field: ex.Value})
	if err != nil {
		return err
	}
	switch ex.Scope {
	case "service":
		return parser.Parse(patch, &co.Service)
	case "objectives":
		return parser.Parse(patch, &co.Objectives)
	default:
		return parser.Parse(patch, &co.Team)
	}
}

// Effective is a configuration with its exceptions applied.
type Effective struct {
	Config
	teams      map[ml.TeamID]Team
	services   map[ml.ServiceName]Service
	objectives map[ml.TeamID]Objectives
}

// Resolve applies the exceptions to the configuration. Invalid ones, which are
// rejected before they get here, have no effect.
func Resolve(co Config, exs []Exception) *Effective {
	ef := &Effective{
		Config: co, teams: make(map[ml.TeamID]Team), services: make(map[ml.ServiceName]Service),
		objectives: make(map[ml.TeamID]Objectives),
	}
	for _, ex := range exs {
		team, service := ml.TeamID(ex.Name), ml.ServiceName(ex.Name)
		overridden := co
		overridden.Team, overridden.Service, overridden.Objectives = ef.TeamFor(team), ef.ServiceFor(service), ef.ObjectivesFor(team)
		if ex.apply(&overridden) != nil {
			continue
		}
		switch ex.Scope {
		case "service":
			ef.services[service] = overridden.Service
		case "objectives":
			ef.objectives[team] = overridden.Objectives
		default:
			ef.teams[team] = overridden.Team
		}
	}
	return ef
}

// TeamFor returns the values in effect for a team.
func (ef *Effective) TeamFor(id ml.TeamID) Team {
	if te, found := ef.teams[id]; found {
		return te
	}
	return ef.Team
}

// ServiceFor returns the values in effect for a service.
func (ef *Effective) ServiceFor(name ml.ServiceName) Service {
	if se, found := ef.services[name]; found {
		return se
	}
	return ef.Service
}

// ObjectivesFor returns the objectives in effect for a team's requests.
func (ef *Effective) ObjectivesFor(id ml.TeamID) Objectives {
	if ob, found := ef.objectives[id]; found {
		return ob
	}
	return ef.Objectives
}
