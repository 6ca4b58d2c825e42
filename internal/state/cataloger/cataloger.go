// Package cataloger holds the newest records of the platform's store: the
// configuration in force, the endpoints, and the failure domains that are out of
// service. Records of a key are ordered by their positions, so that they may arrive
// from the store and from other entry VMs in any order.
package cataloger

import (
	"log/slog"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/matcher"
	"github.com/mulberrylever/mulberrylever/internal/state/attester"
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
	Era       ml.Era // of its newest record
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
	// OnPartLost is called without locks held for each part of prompts whose record the
	// store no longer has since it came back from an older copy. It may be nil.
	OnPartLost func(part ml.PartID)
	// OnChange is called without locks held after each change. It may be nil.
	OnChange func()

	mu              sync.Mutex
	records         map[ml.TopicName]map[string]ml.KeyRecord
	era             ml.Era                       // the latest of the store that is known
	eraSince        time.Time                    // when that became known; zero if the store has not come back since the start
	read            map[ml.TopicName]ml.Position // up to which this entry VM has read the store itself
	listedFrom      map[ml.TopicName]ml.Position // end of each topic when its keys were listed last
	heard           map[ml.TopicName]ml.Position // up to which other entry VMs have passed on what they know
	relistedAt      map[ml.TopicName]time.Time   // when the keys were listed first in the era of listedFrom
	config          *ml.ServingConfig
	configEra       ml.Era           // in which it was read last
	matcher         *matcher.Matcher // of config
	configUnread    bool             // the newest configuration can't be decoded, and is not in force
	domainsOut      map[ml.DomainID]bool
	endpoints       map[ml.EndpointID]Listing
	hasEndpoints    map[ml.TopicName]bool      // topics of endpoints, whose heartbeats digests leave out
	storeFailedAt   time.Time                  // when the store last failed to answer
	readAt          map[ml.TopicName]time.Time // up to which own reads show all that the store had acknowledged
	confirmedAt     map[ml.TopicName]time.Time // that, by own reads or the word of others
	reusedAddresses map[ml.EndpointID]ml.Incarnation
	departures      map[ml.Departure]time.Time // when they became known
	digests         map[ml.TopicName]ml.CatalogDigest
	contents        map[contentKey]ml.CatalogDigest // of each key, as it is in digests
}

// Merge applies records of another entry VM, which has passed on all that it knows before
// the given positions. Records older than the known ones are ignored. The store is still read
// from where this entry VM itself has read it: another one may not have known everything,
// such as the deletions before it started. It returns the records that change the catalog.
func (ca *Cataloger) Merge(now time.Time, records []ml.KeyRecord, next map[ml.TopicName]ml.Position) []ml.KeyRecord {
	changed := ca.mergeAll(now, records, fromPeer)
	ca.mu.Lock()
	defer ca.mu.Unlock()
	raise(&ca.heard, next)
	return changed
}

// ApplyRead applies what a read of the store itself has brought, as far as the read went. Only a
// read that reached its topic's end confirms that all is known. Records that change the catalog
// are passed to OnStoreRecords.
func (ca *Cataloger) ApplyRead(now time.Time, rd *attester.Read) {
	changed := ca.mergeAll(now, rd.Records, fromStore)
	ca.mu.Lock()
	if ca.isContinuedBy(rd) {
		raise(&ca.read, map[ml.TopicName]ml.Position{rd.Topic: rd.Next})
		ca.confirm(rd.Proof())
	}
	ca.mu.Unlock()
	ca.publish(changed)
}

// isContinuedBy reports whether all is known that came before a read. The caller must hold ca.mu.
func (ca *Cataloger) isContinuedBy(rd *attester.Read) bool {
	listed, known := ca.listedFrom[rd.Topic]
	return known && listed.Era == rd.From.Era && rd.From.Compare(ca.read[rd.Topic]) <= 0
}

// publish passes records that change the catalog to OnStoreRecords.
func (ca *Cataloger) publish(changed []ml.KeyRecord) {
	if len(changed) > 0 && ca.OnStoreRecords != nil {
		ca.OnStoreRecords(changed)
	}
}

// source is where a record came from.
type source string

const (
	fromStore   source = "store"
	fromPeer    source = "peer"
	fromListing source = "listing" // of all keys, as new as what is known
)

// raise raises positions to others that are later.
func raise(positions *map[ml.TopicName]ml.Position, others map[ml.TopicName]ml.Position) {
	if *positions == nil {
		*positions = make(map[ml.TopicName]ml.Position)
	}
	for to, po := range others {
		if old, known := (*positions)[to]; !known || po.Compare(old) > 0 {
			(*positions)[to] = po
		}
	}
}

// mergeAll applies records and returns those that change the catalog.
func (ca *Cataloger) mergeAll(now time.Time, records []ml.KeyRecord, so source) []ml.KeyRecord {
	ca.mu.Lock()
	changed := []ml.KeyRecord{}
	for _, re := range records {
		ca.observeEra(now, re.Era, so)
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
	old, found := keys[re.Key]
	if found && !ca.isNewer(old, re) || !found && ca.isUnstated(re) || so != fromListing && ca.isPast(re) {
		return false
	}
	if ca.isUnstated(re) {
		re.Era, re.Offset = old.Era, old.Offset
	}
	keys[re.Key] = re
	changed := ca.apply(now, re, so)
	ca.updateDigest(re)
	return changed
}

// isPast reports whether a record comes before the position up to which all is known, so that it has
// been replaced or deleted since if it is not known: another entry VM has passed it on late, or the
// store's answer has come late. The caller must hold ca.mu.
func (ca *Cataloger) isPast(re ml.KeyRecord) bool {
	read, listed := ca.read[re.Topic], ca.listedFrom[re.Topic]
	return re.Era == read.Era && re.Era == listed.Era && re.Offset < read.Offset
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
	if ca.config != nil && co.Version == ca.config.Version {
		ca.configEra = max(ca.configEra, re.Era)
	}
	if ca.config != nil && co.Version <= ca.config.Version {
		ca.Log.Warn("ignoring configuration that is not newer than the one in force", "version", co.Version, "inForce", ca.config.Version)
		return
	}
	ca.config, ca.matcher, ca.configEra = &co, matcher.New(&co), re.Era
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

// ReadPosition returns the position at which this entry VM continues to read a topic.
func (ca *Cataloger) ReadPosition(to ml.TopicName) ml.Position {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.read[to]
}

// ListedPositions returns, for each topic that has been listed, the position up to which all is
// known, so that another entry VM need not pass on what comes before it.
func (ca *Cataloger) ListedPositions() map[ml.TopicName]ml.Position {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := ca.nextPositions()
	for to := range out {
		if _, listed := ca.listedFrom[to]; !listed {
			delete(out, to)
		}
	}
	return out
}

// NextPositions returns, for each topic, the position up to which this entry VM can tell
// others what it knows.
func (ca *Cataloger) NextPositions() map[ml.TopicName]ml.Position {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.nextPositions()
}

func (ca *Cataloger) nextPositions() map[ml.TopicName]ml.Position {
	out := make(map[ml.TopicName]ml.Position)
	raise(&out, ca.read)
	raise(&out, ca.heard)
	return out
}

// RecordsFrom returns the newest records of all keys that are at or after the given
// positions, those that are kept although the store has lost them, and the positions up to
// which it knows them.
func (ca *Cataloger) RecordsFrom(from map[ml.TopicName]ml.Position) ml.RecordsReply {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := ml.RecordsReply{}
	out.SetPositions(ca.nextPositions(), ca.listedFrom)
	for to, keys := range ca.records {
		start := from[to]
		if start.Era == ml.UnknownEra {
			start.Era = ca.listedFrom[to].Era
		}
		for _, re := range keys {
			if re.Position().Compare(start) >= 0 || re.Era < ca.listedFrom[to].Era {
				out.Records = append(out.Records, re)
			}
		}
	}
	return out
}
