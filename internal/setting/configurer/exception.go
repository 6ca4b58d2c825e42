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
	Scope  string          `json:"scope"` // "team" or "service"
	Name   string          `json:"name"`
	Field  string          `json:"field"` // a field of the scope's defaults
	Value  json.RawMessage `json:"value"`
	Reason string          `json:"reason"`
	By     string          `json:"by"`
	At     time.Time       `json:"at"` // assigned by the log
}

// Key tells which exceptions replace each other.
func (ex Exception) Key() string { return ex.Scope + "/" + ex.Name + "/" + ex.Field }

// scopes lists the fields open to exceptions.
var scopes = map[string][]string{
	"team":    {"weight", "maxInFlight", "maxPrompt"},
	"service": {"idempotent", "timeoutMs"},
}

// Check returns everything wrong with the exception.
func (ex Exception) Check() parser.Faults {
	ch := checker{}
	fields, known := scopes[ex.Scope]
	switch {
	case !known:
		ch.add("scope", ex.Scope, "must be team or service")
	case !slices.Contains(fields, ex.Field):
		ch.add("field", ex.Field, "must be one of %s", strings.Join(fields, ", "))
	default:
		ch.faults = append(ch.faults, ex.checkValue()...)
	}
	if strings.TrimSpace(ex.Name) == "" {
		ch.add("name", ex.Name, "must not be empty")
	}
	if strings.TrimSpace(ex.Reason) == "" {
		ch.add("reason", ex.Reason, "a written reason is required")
	}
	return ch.faults
}

func (ex Exception) checkValue() parser.Faults {
	co := Default()
	if err := ex.apply(&co); err != nil {
		return parser.Faults{{Field: ex.Field, Value: string(ex.Value), What: "unusable value"}}
	}
	return co.Check()
}

// apply writes the exception's value into the scope's defaults in co.
func (ex Exception) apply(co *Config) error {
	patch, err := json.Marshal(map[string]json.RawMessage{ex.Field: ex.Value})
	if err != nil {
		return err
	}
	if ex.Scope == "service" {
		return parser.Parse(patch, &co.Service)
	}
	return parser.Parse(patch, &co.Team)
}

// Effective is a configuration with its exceptions worked out.
type Effective struct {
	Config
	teams    map[ml.TeamID]Team
	services map[ml.ServiceName]Service
}

// Resolve works out the exceptions. Faulty ones have no effect; they can't be
// accepted in the first place.
func Resolve(co Config, exs []Exception) *Effective {
	ef := &Effective{Config: co, teams: make(map[ml.TeamID]Team), services: make(map[ml.ServiceName]Service)}
	for _, ex := range exs {
		own := co
		own.Team, own.Service = ef.TeamFor(ml.TeamID(ex.Name)), ef.ServiceFor(ml.ServiceName(ex.Name))
		if ex.apply(&own) != nil {
			continue
		}
		if ex.Scope == "team" {
			ef.teams[ml.TeamID(ex.Name)] = own.Team
		} else {
			ef.services[ml.ServiceName(ex.Name)] = own.Service
		}
	}
	return ef
}

// TeamFor returns what holds for a team.
func (ef *Effective) TeamFor(id ml.TeamID) Team {
	if te, found := ef.teams[id]; found {
		return te
	}
	return ef.Team
}

// ServiceFor returns what holds for a service.
func (ef *Effective) ServiceFor(name ml.ServiceName) Service {
	if se, found := ef.services[name]; found {
		return se
	}
	return ef.Service
}
