package cataloger

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/attester"
)

// ApplyListing applies a listing of a topic. If it is whole, keys that are missing in it are
// marked as deleted, and it confirms that all is known. Changes are passed to OnStoreRecords, but
// for those of the first listing of the topic: they are new to none of the other entry VMs.
func (ca *Cataloger) ApplyListing(now time.Time, li *attester.Listing) {
	isFirst, so := !ca.IsTopicListed(li.Topic()), fromListing
	if li.End().Compare(ca.ReadPosition(li.Topic())) < 0 {
		so = fromStore // it has come late
	}
	changed := ca.mergeAll(now, li.Records(), so)
	if li.IsWhole() {
		changed = append(changed, ca.deleteUnlisted(now, li)...)
	}
	if !isFirst {
		ca.publish(changed)
	}
}

// deleteUnlisted marks keys as deleted that are missing in a whole listing, and confirms the topic.
// Keys with records at or after the listing's end stay, and for a time those of an earlier era. It
// returns the deletions that change the catalog.
func (ca *Cataloger) deleteUnlisted(now time.Time, li *attester.Listing) []ml.KeyRecord {
	listed := keysOf(li.Topic(), li.Records())
	ca.mu.Lock()
	ca.recordListing(now, li.Topic(), li.End())
	deletions, lost := ca.unlisted(li.Topic(), listed, li.End()), ca.lostParts(li.Topic(), listed, li.End().Era)
	ca.mu.Unlock()
	changed := ca.mergeAll(now, deletions, fromListing)
	ca.mu.Lock()
	raise(&ca.read, map[ml.TopicName]ml.Position{li.Topic(): li.End()})
	ca.confirm(li.Proof())
	ca.mu.Unlock()
	for _, part := range lost {
		if ca.OnPartLost != nil {
			ca.OnPartLost(part)
		}
	}
	return changed
}

// lostParts returns the parts of prompts whose records a listing of a later era lacks. The caller must
// hold ca.mu.
func (ca *Cataloger) lostParts(to ml.TopicName, listed map[string]bool, era ml.Era) []ml.PartID {
	out := []ml.PartID{}
	for key, re := range ca.records[to] {
		if part, _, found := ca.Decoder.Part(re); found && !listed[key] && re.Value != nil && re.Era < era {
			out = append(out, part)
		}
	}
	return out
}

// deletion returns a record of the deletion of a key before the end of a listing.
func deletion(to ml.TopicName, key string, end ml.Position) ml.KeyRecord {
	return ml.KeyRecord{Topic: to, Key: key, Era: end.Era, Offset: end.Offset - 1}
}

// Adopt takes over what another entry VM has listed of topics of which this one has listed
// nothing in that era, so that it need not list them itself. The reply must hold all that the other
// one knows of these, and must have been merged. Keys that are missing in it are marked as deleted.
func (ca *Cataloger) Adopt(now time.Time, reply *ml.RecordsReply) {
	if ca.adopt(now, reply) && ca.OnChange != nil {
		ca.OnChange()
	}
}

// adopt is Adopt, and reports whether keys were deleted.
func (ca *Cataloger) adopt(now time.Time, reply *ml.RecordsReply) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	changed := false
	for to := range reply.ListedFrom {
		next := reply.Next(to)
		if listed, known := ca.listedFrom[to]; known && listed.Era >= next.Era || next.Era < ca.era {
			continue
		}
		for _, re := range ca.unlisted(to, keysOf(to, reply.Records), next) {
			changed = ca.mergeRecord(now, re, fromListing) || changed
		}
		// Deletions are known from here on: a deleted key isn't among the records.
		ca.recordListing(now, to, next)
		raise(&ca.read, map[ml.TopicName]ml.Position{to: next})
	}
	return changed
}

// keysOf returns the keys of a topic's records.
func keysOf(to ml.TopicName, records []ml.KeyRecord) map[string]bool {
	keys := make(map[string]bool, len(records))
	for _, re := range records {
		if re.Topic == to {
			keys[re.Key] = true
		}
	}
	return keys
}

// unlisted returns deletions of the keys that are known in the era of a listing, and missing in it
// although their records come before its end. The caller must hold ca.mu.
func (ca *Cataloger) unlisted(to ml.TopicName, listed map[string]bool, end ml.Position) []ml.KeyRecord {
	out := []ml.KeyRecord{}
	for key, re := range ca.records[to] {
		if !listed[key] && re.Value != nil && re.Era == end.Era && re.Offset < end.Offset {
			out = append(out, deletion(to, key, end))
		}
	}
	return out
}

// HasListed reports whether all keys of any topic have been listed.
func (ca *Cataloger) HasListed() bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return len(ca.listedFrom) > 0
}

// IsTopicListed reports whether all keys of a topic have been listed, here or by the entry VM from
// which they were adopted.
func (ca *Cataloger) IsTopicListed(to ml.TopicName) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	_, listed := ca.listedFrom[to]
	return listed
}
