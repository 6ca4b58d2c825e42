package cataloger

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	ml "github.com/mulberrylever/mulberrylever"
)

// Digests returns a digest of what the catalog holds of each topic. Two catalogs with equal
// digests hold the same. Fields of endpoints that change with every heartbeat don't count,
// since entry VMs don't pass them on.
func (ca *Cataloger) Digests() map[ml.TopicName]ml.CatalogDigest {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := make(map[ml.TopicName]ml.CatalogDigest, len(ca.digests))
	for to, digest := range ca.digests {
		if digest != 0 { // a topic whose keys are all deleted is as one without keys
			out[to] = digest
		}
	}
	return out
}

// updateDigest updates the digest of a topic after a record has been applied. The caller must
// hold ca.mu.
func (ca *Cataloger) updateDigest(re ml.KeyRecord) {
	if ca.digests == nil {
		ca.digests, ca.contents = make(map[ml.TopicName]ml.CatalogDigest), make(map[contentKey]ml.CatalogDigest)
	}
	key := contentKey{re.Topic, re.Key}
	content := ca.content(re)
	ca.digests[re.Topic] ^= ca.contents[key] ^ content
	if content == 0 {
		delete(ca.contents, key)
		return
	}
	ca.contents[key] = content
}

// contentKey is a key of a topic.
type contentKey struct {
	topic ml.TopicName
	key   string
}

// content returns a hash of what a record says, and 0 for a deleted key.
func (ca *Cataloger) content(re ml.KeyRecord) ml.CatalogDigest {
	if re.Value == nil {
		return 0
	}
	di := xxhash.New()
	_, _ = di.WriteString(re.Key) // never fails
	if li, found := ca.endpoints[ml.EndpointID(re.Key)]; found && li.Topic == re.Topic {
		ep := li.ListedEndpoint
		ep.ColdRemaining, ep.Sequence = 0, 0
		_, _ = fmt.Fprintf(di, "%+v", ep)
	} else {
		_, _ = di.Write(re.Value)
	}
	return ml.CatalogDigest(di.Sum64() | 1) // not 0
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
