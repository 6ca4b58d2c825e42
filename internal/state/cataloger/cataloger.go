// Package cataloger holds the newest records of the platform's store: the
// configuration in force, the endpoints, and the failure domains that are out of
// service. Records of a key are ordered by their offsets, so that they may arrive
// from the store and from other entry VMs in any order.
package cataloger

import (
	"log/slog"
	"maps"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/matcher"
)

// Decoder decodes records in the platform's formats.
type Decoder interface {
	// Config returns the configuration in a record. The second result is false
	// for records that don't hold one.
	Config(re ml.KeyRecord) (ml.ServingConfig, bool, error)
	// Domain returns the failure domain that a record takes out of service. The
	// second result is false for other records.
	Domain(re ml.KeyRecord) (ml.DomainID, bool)
	// Part returns the part of prompts that a record blocks. The second result is
	// false for other records.
	Part(re ml.KeyRecord) (ml.PartID, ml.PartState, bool)
	// Endpoint returns the endpoint in a record. The second result is false for
	// records that don't hold one.
	Endpoint(re ml.KeyRecord) (ml.ListedEndpoint, bool, error)
}

// Listing is an endpoint with the state of its record.
type Listing struct {
	ml.ListedEndpoint
	ColdUntil time.Time
	RemovedAt time.Time // when its record was deleted; zero while the record exists
	ReadAt    time.Time // when its newest record was read
	Topic     ml.TopicName
}

// Cataloger holds the newest record of each key. It is safe for concurrent use.
type Cataloger struct {
	Decoder Decoder
	Log     *slog.Logger
	// OnStoreRecords is called without locks held with the records read from the
	// store that change the catalog. Records that differ from the last one only
	// in their sequence number are left out. It may be nil.
	OnStoreRecords func([]ml.KeyRecord)
	// RemovalGrace is how long an endpoint stays usable after its record was
	// deleted, if that happened within twice this time after the store last
	// failed. The endpoint may only have been unable to renew the record.
	RemovalGrace time.Duration
	// OnPart is called for each record of a part of prompts, with locks held. It may be
	// nil.
	OnPart func(now time.Time, part ml.PartID, ps ml.PartState)
	// OnChange is called without locks held after each change. It may be nil.
	OnChange func()

	mu              sync.Mutex
	records         map[ml.TopicName]map[string]ml.KeyRecord
	readOffsets     map[ml.TopicName]ml.Offset // up to which this entry VM has read the store itself
	listedFrom      map[ml.TopicName]ml.Offset // end of each topic when its keys were listed last
	heardOffsets    map[ml.TopicName]ml.Offset // up to which other entry VMs have passed on what they know
	config          *ml.ServingConfig
	matcher         *matcher.Matcher // of config
	configUnread    bool             // the newest configuration can't be decoded, and is not in force
	domainsOut      map[ml.DomainID]bool
	endpoints       map[ml.EndpointID]Listing
	storeFailedAt   time.Time                  // when the store last failed to answer
	readAt          map[ml.TopicName]time.Time // when the store last answered a read of a topic
	confirmedAt     map[ml.TopicName]time.Time // up to which all that the store had acknowledged is applied
	reusedAddresses map[ml.EndpointID]ml.Incarnation
	departures      map[ml.Departure]time.Time // when they became known
	digests         map[ml.TopicName]ml.CatalogDigest
	contents        map[contentKey]ml.CatalogDigest // of each key, as it is in digests
}

// Merge applies records of another entry VM, which has passed on all that it knows before
// the given offsets. Records older than the known ones are ignored. The store is still read
// from where this entry VM itself has read it: another one may not have known everything,
// such as the deletions before it started. It returns the records that change the catalog.
func (ca *Cataloger) Merge(now time.Time, records []ml.KeyRecord, nextOffsets map[ml.TopicName]ml.Offset) []ml.KeyRecord {
	changed := ca.mergeAll(now, records, fromPeer)
	ca.mu.Lock()
	defer ca.mu.Unlock()
	raise(&ca.heardOffsets, nextOffsets)
	return changed
}

// MergeFromStore applies records read from the store itself. The topic has been
// read up to the offset end. Records that change the catalog are passed to
// OnStoreRecords.
func (ca *Cataloger) MergeFromStore(now time.Time, to ml.TopicName, records []ml.KeyRecord, end ml.Offset) {
	changed := ca.mergeAll(now, records, fromStore)
	ca.mu.Lock()
	raise(&ca.readOffsets, map[ml.TopicName]ml.Offset{to: end})
	ca.mu.Unlock()
	if len(changed) > 0 && ca.OnStoreRecords != nil {
		ca.OnStoreRecords(changed)
	}
}

// MergeFirstListing applies the first listing of a topic, up to the offset end. Nothing in it
// is new to the other entry VMs, so that it is not passed to OnStoreRecords.
func (ca *Cataloger) MergeFirstListing(now time.Time, to ml.TopicName, records []ml.KeyRecord, end ml.Offset) {
	ca.mergeAll(now, records, fromStore)
	ca.mu.Lock()
	defer ca.mu.Unlock()
	raise(&ca.readOffsets, map[ml.TopicName]ml.Offset{to: end})
}

// source is where a record came from.
type source string

const (
	fromStore source = "store"
	fromPeer  source = "peer"
)

// raise raises offsets to others that are higher.
func raise(offsets *map[ml.TopicName]ml.Offset, others map[ml.TopicName]ml.Offset) {
	if *offsets == nil {
		*offsets = make(map[ml.TopicName]ml.Offset)
	}
	for to, offset := range others {
		(*offsets)[to] = max((*offsets)[to], offset)
	}
}

// mergeAll applies records and returns those that change the catalog.
func (ca *Cataloger) mergeAll(now time.Time, records []ml.KeyRecord, so source) []ml.KeyRecord {
	ca.mu.Lock()
	changed := []ml.KeyRecord{}
	for _, re := range records {
		if ca.mergeRecord(now, re, so) {
			changed = append(changed, re)
		}
	}
	ca.mu.Unlock()
	if len(changed) > 0 && ca.OnChange != nil {
		ca.OnChange()
	}
	return changed
}

// mergeRecord applies one record and reports whether it changes the catalog.
func (ca *Cataloger) mergeRecord(now time.Time, re ml.KeyRecord, so source) bool {
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
	changed := ca.apply(now, re, so)
	ca.updateDigest(re)
	return changed
}

func (ca *Cataloger) apply(now time.Time, re ml.KeyRecord, so source) bool {
	if do, found := ca.Decoder.Domain(re); found {
		ca.applyDomain(do, re)
		return true
	}
	if part, ps, found := ca.Decoder.Part(re); found {
		if ca.OnPart != nil {
			ca.OnPart(now, part, ps)
		}
		return true
	}
	if co, found, err := ca.Decoder.Config(re); found || err != nil {
		ca.applyConfig(re, co, err, so)
		return true
	}
	return ca.applyEndpoint(now, re)
}

func (ca *Cataloger) applyDomain(do ml.DomainID, re ml.KeyRecord) {
	if ca.domainsOut == nil {
		ca.domainsOut = make(map[ml.DomainID]bool)
	}
	ca.domainsOut[do] = re.Value != nil
	ca.Log.Info("domain", "domain", do, "out", re.Value != nil, "offset", re.Offset)
}

func (ca *Cataloger) applyConfig(re ml.KeyRecord, co ml.ServingConfig, err error, so source) {
	ca.configUnread = err != nil
	if err != nil {
		ca.Log.Error("cannot decode configuration, keeping the one in force", "offset", re.Offset, "source", so, "error", err)
		return
	}
	if ca.config != nil && co.Version <= ca.config.Version {
		ca.Log.Warn("ignoring configuration that is not newer than the one in force", "version", co.Version, "inForce", ca.config.Version)
		return
	}
	ca.config, ca.matcher = &co, matcher.New(&co)
	ca.Log.Info("configuration in force", "version", co.Version, "routes", len(co.Routes), "teams", len(co.Teams), "offset", re.Offset, "source", so)
}

// PruneRemoved drops endpoints whose records were deleted longer than age ago, and what is
// known of others that are not listed.
func (ca *Cataloger) PruneRemoved(now time.Time, age time.Duration) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for id, li := range ca.endpoints {
		if !li.RemovedAt.IsZero() && now.Sub(li.RemovedAt) > age {
			delete(ca.endpoints, id)
			delete(ca.reusedAddresses, id)
		}
	}
	for de, at := range ca.departures {
		if !ca.isListed(de) && now.Sub(at) > age {
			delete(ca.departures, de)
		}
	}
}

// RecordRead records that the store has answered a read of a topic, and that all is applied
// that it had acknowledged by confirmedAt.
func (ca *Cataloger) RecordRead(now, confirmedAt time.Time, to ml.TopicName) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ca.readAt == nil {
		ca.readAt, ca.confirmedAt = make(map[ml.TopicName]time.Time), make(map[ml.TopicName]time.Time)
	}
	ca.readAt[to] = now
	if confirmedAt.After(ca.confirmedAt[to]) {
		ca.confirmedAt[to] = confirmedAt
	}
}

// RecordConfirmation records that all that the store had acknowledged in a topic by a time is
// applied, as another entry VM has confirmed.
func (ca *Cataloger) RecordConfirmation(at time.Time, to ml.TopicName) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ca.confirmedAt == nil {
		ca.readAt, ca.confirmedAt = make(map[ml.TopicName]time.Time), make(map[ml.TopicName]time.Time)
	}
	if at.After(ca.confirmedAt[to]) {
		ca.confirmedAt[to] = at
	}
}

// ConfirmedAt returns a time up to which all that the store had acknowledged in a topic is
// applied. It is zero before the first confirmation.
func (ca *Cataloger) ConfirmedAt(to ml.TopicName) time.Time {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.confirmedAt[to]
}

// Confirmations returns what is confirmed of each topic.
func (ca *Cataloger) Confirmations(now time.Time) map[ml.TopicName]ml.Confirmation {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := make(map[ml.TopicName]ml.Confirmation)
	for to, at := range ca.confirmedAt {
		out[to] = ml.Confirmation{Digest: ca.digests[to], AgeMs: ml.Age(now, at).Milliseconds() + 1}
	}
	return out
}

// ConfigConfirmedAt returns a time up to which all configurations that the store had
// acknowledged in a topic are in force. It is zero before the first read, and while the
// newest one can't be decoded.
func (ca *Cataloger) ConfigConfirmedAt(to ml.TopicName) time.Time {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ca.configUnread {
		return time.Time{}
	}
	return ca.confirmedAt[to]
}

// RecordStoreFailure records that the store failed to answer at now.
func (ca *Cataloger) RecordStoreFailure(now time.Time) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.storeFailedAt = now
}

// MarkAddressReused records that another endpoint now answers at the address of
// this incarnation of an endpoint.
func (ca *Cataloger) MarkAddressReused(id ml.EndpointID, in ml.Incarnation) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ca.reusedAddresses == nil {
		ca.reusedAddresses = make(map[ml.EndpointID]ml.Incarnation)
	}
	ca.reusedAddresses[id] = in
}

// Config returns the configuration in force, or nil before there is one. The
// caller must not modify it.
func (ca *Cataloger) Config() *ml.ServingConfig {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.config
}

// Version returns the version of the configuration in force, or 0 before there is one.
func (ca *Cataloger) Version() ml.Version {
	if co := ca.Config(); co != nil {
		return co.Version
	}
	return 0
}

// Matcher returns the index of the configuration in force, or nil before there is one.
func (ca *Cataloger) Matcher() *matcher.Matcher {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.matcher
}

// ReadOffset returns the offset at which this entry VM continues to read a topic.
func (ca *Cataloger) ReadOffset(to ml.TopicName) ml.Offset {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.readOffsets[to]
}

// NextOffsets returns, for each topic, the offset up to which this entry VM can tell
// others what it knows.
func (ca *Cataloger) NextOffsets() map[ml.TopicName]ml.Offset {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.nextOffsets()
}

func (ca *Cataloger) nextOffsets() map[ml.TopicName]ml.Offset {
	out := make(map[ml.TopicName]ml.Offset)
	raise(&out, ca.readOffsets)
	raise(&out, ca.heardOffsets)
	return out
}

// RecordsFrom returns the newest records of all keys that are at or after the given
// offsets, and the offsets up to which it knows them.
func (ca *Cataloger) RecordsFrom(from map[ml.TopicName]ml.Offset) ml.RecordsReply {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := ml.RecordsReply{NextOffsets: ca.nextOffsets(), ListedFrom: maps.Clone(ca.listedFrom)}
	for to, keys := range ca.records {
		for _, re := range keys {
			if re.Offset >= from[to] {
				out.Records = append(out.Records, re)
			}
		}
	}
	return out
}

// DeleteUnlisted marks keys as deleted that are missing in a complete listing of
// a topic. Keys with records at or after the listing's end stay.
func (ca *Cataloger) DeleteUnlisted(now time.Time, to ml.TopicName, listed map[string]bool, end ml.Offset) {
	ca.mu.Lock()
	raise(&ca.listedFrom, map[ml.TopicName]ml.Offset{to: end})
	deletions := []ml.KeyRecord{}
	for key, re := range ca.records[to] {
		if !listed[key] && re.Value != nil && re.Offset < end {
			deletions = append(deletions, ml.KeyRecord{Topic: to, Key: key, Offset: end - 1})
		}
	}
	ca.mu.Unlock()
	ca.Merge(now, deletions, nil)
}
