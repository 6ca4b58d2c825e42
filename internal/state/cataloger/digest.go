package cataloger

import (
	"fmt"

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
