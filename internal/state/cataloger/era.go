package cataloger

import (
	"cmp"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// endpointRewriteTime is the time within which endpoints that are alive have written
	// their records again, after the store has come back from an older copy.
	endpointRewriteTime = 2 * time.Second
	// operatorRewriteTime is that for operators, who may have to notice it themselves.
	operatorRewriteTime = time.Minute
)

// ObserveEra records the era that the store has stated in an answer. In a later era than the
// known one all topics have to be listed again.
func (ca *Cataloger) ObserveEra(now time.Time, era ml.Era) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.observeEra(now, era, fromStore)
}

// Era returns the latest era of the store that is known.
func (ca *Cataloger) Era() ml.Era {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.era
}

// observeEra is ObserveEra. The caller must hold ca.mu.
func (ca *Cataloger) observeEra(now time.Time, era ml.Era, so source) {
	if era <= ca.era {
		return
	}
	before := ca.era
	ca.era = era
	if before == 0 {
		return // the first answer
	}
	ca.eraSince = now
	ca.Log.Warn("the store has come back from an older copy", "era", era, "before", before, "source", so, "positions", ca.read, "endpoints", len(ca.endpoints), "version", ca.version())
}

// version returns the version of the configuration in force. The caller must hold ca.mu.
func (ca *Cataloger) version() ml.Version {
	if ca.config == nil {
		return 0
	}
	return ca.config.Version
}

// isNewer reports whether a record replaces another one of its key. Between two eras the later
// one may hold an older copy of what is known, so that what the records say goes first. The
// caller must hold ca.mu.
func (ca *Cataloger) isNewer(old, re ml.KeyRecord) bool {
	if re.Era != old.Era {
		if order := ca.compareContents(re); order != 0 {
			return order > 0
		}
	}
	return re.Position().Compare(old.Position()) > 0
}

// isUnstated reports whether a record comes from an entry VM of an earlier release, which doesn't
// say of which era it is. What it says may be newer, but its offset tells nothing. The caller must
// hold ca.mu.
func (ca *Cataloger) isUnstated(re ml.KeyRecord) bool { return re.Era == 0 && ca.era > 0 }

// compareContents returns a negative number if a record says less than what is known of its
// key, a positive number if it says more, and 0 if that can't be told. The caller must hold
// ca.mu.
func (ca *Cataloger) compareContents(re ml.KeyRecord) int {
	if re.Value == nil {
		return 0
	}
	if co, found, err := ca.Decoder.Config(re); found && err == nil {
		return cmp.Compare(co.Version, ca.version())
	}
	li, known := ca.endpoints[ml.EndpointID(re.Key)]
	if !known || li.Topic != re.Topic || li.Incarnation == "" {
		return 0
	}
	ep, found, err := ca.Decoder.Endpoint(re)
	if !found || err != nil || ep.Incarnation == "" {
		return 0
	}
	order := cmp.Compare(ep.Incarnation, li.Incarnation)
	if order != 0 || ep.Sequence == 0 || li.Sequence == 0 {
		return order
	}
	order = cmp.Compare(ep.Sequence, li.Sequence)
	if order == 0 && !li.RemovedAt.IsZero() {
		return -1 // the record that was deleted
	}
	return order
}

// recordListing records that all keys of a topic were listed. The caller must hold ca.mu.
func (ca *Cataloger) recordListing(now time.Time, to ml.TopicName, end ml.Position) {
	ca.observeEra(now, end.Era, fromStore)
	if listed, known := ca.listedFrom[to]; !known || listed.Era < end.Era {
		if ca.relistedAt == nil {
			ca.relistedAt = make(map[ml.TopicName]time.Time)
		}
		ca.relistedAt[to] = now
	}
	raise(&ca.listedFrom, map[ml.TopicName]ml.Position{to: end})
}

// mayLackConfig reports whether the store may have lost the newest configuration, and the
// operators may not have written it again. The caller must hold ca.mu.
func (ca *Cataloger) mayLackConfig(now time.Time) bool {
	if ca.eraSince.IsZero() {
		return false
	}
	since := ml.Age(now, ca.eraSince)
	return since < endpointRewriteTime || ca.configEra < ca.era && since < operatorRewriteTime
}

// isOutdated reports whether a record is of an earlier era than the newest listing of its topic, and
// this entry VM has read the topic after whoever wrote it has had the time to write it again. One that
// doesn't read the topic goes by the deletions of those that do. The caller must hold ca.mu.
func (ca *Cataloger) isOutdated(to ml.TopicName, era ml.Era, rewriteTime time.Duration) bool {
	return era < ca.listedFrom[to].Era && !ca.readAt[to].Before(ca.relistedAt[to].Add(rewriteTime))
}

// DropOutdated deletes the keys that the store has lost and that nobody has written again in
// time. The configuration stays. The deletions are passed to OnStoreRecords.
func (ca *Cataloger) DropOutdated(now time.Time) {
	ca.mu.Lock()
	deletions := []ml.KeyRecord{}
	for to, keys := range ca.records {
		for key, re := range keys {
			if re.Value != nil && ca.isDropped(re) {
				deletions = append(deletions, deletion(to, key, ca.listedFrom[to]))
			}
		}
	}
	ca.mu.Unlock()
	changed := ca.mergeAll(now.Add(-ca.RemovalGrace), deletions, fromListing) // they had their time
	ca.publish(changed)
}

// isDropped reports whether DropOutdated deletes the key of a record. The caller must hold ca.mu.
func (ca *Cataloger) isDropped(re ml.KeyRecord) bool {
	if re.Era >= ca.listedFrom[re.Topic].Era {
		return false
	}
	if _, isConfig, _ := ca.Decoder.Config(re); isConfig {
		return false
	}
	rewriteTime := operatorRewriteTime
	if li, found := ca.endpoints[ml.EndpointID(re.Key)]; found && li.Topic == re.Topic {
		rewriteTime = endpointRewriteTime
	}
	return ca.isOutdated(re.Topic, re.Era, rewriteTime)
}
