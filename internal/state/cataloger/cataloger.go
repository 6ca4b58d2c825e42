// Package cataloger keeps what the platform's store says: the configuration in
// force, the endpoints and the failure domains that are out of service. Records
// of a key are ordered by their offsets, so that they may come from the store
// and from other entry VMs in any order.
package cataloger

import (
	"log/slog"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// Decoder reads the values of records. It knows the platform's formats.
type Decoder interface {
	// Config returns the configuration of a record, and false for records
	// that hold none.
	Config(re ml.KeyRecord) (ml.ServingConfig, bool, error)
	// Domain returns the failure domain that a record takes out of service.
	Domain(re ml.KeyRecord) (ml.DomainID, bool)
	// Endpoint returns the endpoint of a record, and false for records that
	// hold none.
	Endpoint(re ml.KeyRecord) (ml.ListedEndpoint, bool, error)
}

// Listing is an endpoint and what has become of it.
type Listing struct {
	ml.ListedEndpoint
	ColdUntil time.Time
	Removed   time.Time // when its record went; zero while it is there
	Seen      time.Time // when its newest record was read
}

// Cataloger holds the newest records. It is safe for concurrent use.
type Cataloger struct {
	Decoder Decoder
	Log     *slog.Logger
	// News is called without locks held with records from the store that
	// change more than a heartbeat's number; nil for nothing.
	News func([]ml.KeyRecord)
	// Grace is how long an endpoint whose record went while the store was
	// away goes on being used.
	Grace time.Duration
	// Changed is called without locks held after each change.
	Changed func()

	mu        sync.Mutex
	records   map[ml.TopicName]map[string]ml.KeyRecord
	heads     map[ml.TopicName]ml.Offset
	config    *ml.ServingConfig
	out       map[ml.DomainID]bool
	endpoints map[ml.EndpointID]Listing
	away      time.Time // when the store was last found away
	wrong     map[ml.EndpointID]ml.Incarnation
}

// Merge takes in records, and how far the topic has been read by their source.
// Records that are older than what is known change nothing.
func (ca *Cataloger) Merge(now time.Time, records []ml.KeyRecord, heads map[ml.TopicName]ml.Offset) {
	ca.merged(now, records, heads)
}

// FromStore takes in records that the store itself has given, up to head, and
// passes on what is news.
func (ca *Cataloger) FromStore(now time.Time, to ml.TopicName, records []ml.KeyRecord, head ml.Offset) {
	news := ca.merged(now, records, map[ml.TopicName]ml.Offset{to: head})
	if len(news) > 0 && ca.News != nil {
		ca.News(news)
	}
}

// merged takes in records and returns those that change something.
func (ca *Cataloger) merged(now time.Time, records []ml.KeyRecord, heads map[ml.TopicName]ml.Offset) []ml.KeyRecord {
	ca.mu.Lock()
	news := []ml.KeyRecord{}
	for _, re := range records {
		if ca.merge(now, re) {
			news = append(news, re)
		}
	}
	for to, head := range heads {
		if ca.heads == nil {
			ca.heads = make(map[ml.TopicName]ml.Offset)
		}
		ca.heads[to] = max(ca.heads[to], head)
	}
	ca.mu.Unlock()
	if len(news) > 0 && ca.Changed != nil {
		ca.Changed()
	}
	return news
}

// merge takes in one record and tells whether it changes anything.
func (ca *Cataloger) merge(now time.Time, re ml.KeyRecord) bool {
	if ca.records == nil {
		ca.records = make(map[ml.TopicName]map[string]ml.KeyRecord)
	}
	keys := ca.records[re.Topic]
	if keys == nil {
		keys = make(map[string]ml.KeyRecord)
		ca.records[re.Topic] = keys
	}
	if old, found := keys[re.Key]; found && old.Offset >= re.Offset {
		return false
	}
	keys[re.Key] = re
	return ca.apply(now, re)
}

func (ca *Cataloger) apply(now time.Time, re ml.KeyRecord) bool {
	if do, is := ca.Decoder.Domain(re); is {
		ca.applyDomain(do, re)
		return true
	}
	if co, is, err := ca.Decoder.Config(re); is || err != nil {
		ca.applyConfig(re, co, err)
		return true
	}
	return ca.applyEndpoint(now, re)
}

func (ca *Cataloger) applyDomain(do ml.DomainID, re ml.KeyRecord) {
	if ca.out == nil {
		ca.out = make(map[ml.DomainID]bool)
	}
	ca.out[do] = re.Value != nil
	ca.Log.Info("domain", "domain", do, "out", re.Value != nil, "offset", re.Offset)
}

func (ca *Cataloger) applyConfig(re ml.KeyRecord, co ml.ServingConfig, err error) {
	if err != nil {
		ca.Log.Error("configuration not readable, the last one stays", "offset", re.Offset, "error", err)
		return
	}
	if ca.config != nil && co.Version <= ca.config.Version {
		ca.Log.Warn("configuration is not newer, ignored", "version", co.Version, "inForce", ca.config.Version)
		return
	}
	ca.config = &co
	ca.Log.Info("configuration in force", "version", co.Version, "routes", len(co.Routes), "teams", len(co.Teams), "offset", re.Offset)
}

// Forget drops endpoints that were removed longer than age ago.
func (ca *Cataloger) Forget(now time.Time, age time.Duration) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for id, li := range ca.endpoints {
		if !li.Removed.IsZero() && now.Sub(li.Removed) > age {
			delete(ca.endpoints, id)
			delete(ca.wrong, id)
		}
	}
}

// StoreAway notes that the store did not answer at now.
func (ca *Cataloger) StoreAway(now time.Time) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.away = now
}

// MarkAddressReused notes that another endpoint has the address of this life of one.
func (ca *Cataloger) MarkAddressReused(id ml.EndpointID, in ml.Incarnation) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ca.wrong == nil {
		ca.wrong = make(map[ml.EndpointID]ml.Incarnation)
	}
	ca.wrong[id] = in
}

// Config returns the configuration in force, or nil before there is one. It
// must not be changed.
func (ca *Cataloger) Config() *ml.ServingConfig {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.config
}

// NextOffsets returns how far each topic has been read.
func (ca *Cataloger) NextOffsets() map[ml.TopicName]ml.Offset {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := make(map[ml.TopicName]ml.Offset, len(ca.heads))
	for to, head := range ca.heads {
		out[to] = head
	}
	return out
}

// RecordsFrom returns the records at or after the given offsets.
func (ca *Cataloger) RecordsFrom(after map[ml.TopicName]ml.Offset) []ml.KeyRecord {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := []ml.KeyRecord{}
	for to, keys := range ca.records {
		for _, re := range keys {
			if re.Offset >= after[to] {
				out = append(out, re)
			}
		}
	}
	return out
}

// Absent marks as deleted what a complete listing of a topic, read up to head,
// does not name any more.
func (ca *Cataloger) Absent(now time.Time, to ml.TopicName, listed map[string]bool, head ml.Offset) {
	ca.mu.Lock()
	gone := []ml.KeyRecord{}
	for key, re := range ca.records[to] {
		if !listed[key] && re.Value != nil && re.Offset < head {
			gone = append(gone, ml.KeyRecord{Topic: to, Key: key, Offset: head - 1})
		}
	}
	ca.mu.Unlock()
	ca.Merge(now, gone, nil)
}
