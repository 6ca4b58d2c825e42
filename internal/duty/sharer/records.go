package sharer

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

// PublishRecords sends records read from the store to the other entry VMs.
func (sh *Sharer) PublishRecords(records []ml.KeyRecord) {
	sh.mu.Lock()
	sh.unsentRecords = append(sh.unsentRecords, records...)
	sh.mu.Unlock()
	sh.Signal()
}

// sendDigest sends the known addresses and a digest of the catalog to one member, chosen at
// random. The acknowledgement holds those of the member, so that what was missed
// because of lost messages is found.
func (sh *Sharer) sendDigest(known []string) {
	om := sh.encode(sh.withSender(ml.ShareMessage{KnownAddresses: known, Digests: sh.Catalog.Digests()}))
	om.needsAck = true
	sh.mu.Lock()
	defer sh.mu.Unlock()
	skip := rand.IntN(max(len(sh.members), 1))
	for _, me := range sh.members {
		if skip == 0 {
			sh.enqueue(me, om)
			return
		}
		skip--
	}
}

// announceRecords tells one member of each other failure domain that there are new records.
// It reads them in the store, or fetches them if it can't. The caller must hold sh.mu.
func (sh *Sharer) announceRecords(now time.Time) {
	om := sh.encode(sh.withSender(ml.ShareMessage{Digests: sh.Catalog.Digests()}))
	announced := map[ml.DomainID]bool{sh.Domain: true, "": true}
	for _, me := range sh.members {
		if announced[me.domain] {
			continue
		}
		announced[me.domain] = true
		if re := sh.findRelay(now, me.domain); re != nil {
			sh.enqueue(re, om)
		}
	}
}

// isBehind reports whether another entry VM may know more of the store's records than this
// one. One of an earlier release says only up to which offsets it has read.
func (sh *Sharer) isBehind(digests map[ml.TopicName]ml.CatalogDigest, nextOffsets map[ml.TopicName]ml.Offset) bool {
	if !sh.Catalog.HasListed() {
		return true // this one has just started
	}
	if digests != nil {
		return !maps.Equal(digests, sh.Catalog.Digests())
	}
	own := sh.Catalog.NextPositions()
	for to, offset := range nextOffsets {
		if offset > own[to].Offset {
			return true
		}
	}
	return false
}

// fetchRecords fetches the records that a member knows and this entry VM doesn't. Only one
// fetch runs at a time, and only one each fetchInterval after the catalogs were found to
// differ, since the member may be the one that is behind. What the member knew before it
// replies may be gone by then, since its process may have been replaced, and one that has
// started later doesn't know what was deleted before: only what the reply covers counts.
func (sh *Sharer) fetchRecords(ctx context.Context, address string) {
	if !sh.fetching.CompareAndSwap(false, true) {
		return
	}
	defer sh.fetching.Store(false)
	if time.Since(sh.fetchedAt) < fetchInterval {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	own := sh.Catalog.ListedPositions()
	reply, err := sh.Peers.Records(callCtx, address, own)
	if err != nil {
		sh.Log.Warn("store records not fetched from peer", "peer", address, "error", err)
		return
	}
	sh.fetchedAt = time.Now()
	changed := sh.Catalog.Merge(sh.fetchedAt, reply.Records, reply.Covered(own))
	sh.Catalog.Adopt(sh.fetchedAt, &reply)
	if len(changed) > 0 && sh.ReadsStore(sh.fetchedAt) {
		sh.PublishRecords(changed) // the store may turn this whole domain away
	}
}

// runFetchRecords fetches the records of a member that has sent digests. An entry VM that
// reads the store itself waits for a moment, since it will most likely read them there.
func (sh *Sharer) runFetchRecords(address string, digests map[ml.TopicName]ml.CatalogDigest) {
	ctx, before := context.Background(), sh.Catalog.Digests()
	if sh.ReadsStore(time.Now()) && digests != nil {
		pacer.Sleep(ctx, readerPatience)
		if now := sh.Catalog.Digests(); maps.Equal(now, digests) || !maps.Equal(now, before) {
			return
		}
	}
	sh.fetchRecords(ctx, address)
}

// OnRecords implements ml.ShareHandler.
func (sh *Sharer) OnRecords(after map[ml.TopicName]ml.Position) ml.RecordsReply {
	return sh.Catalog.RecordsFrom(after)
}

// offsets returns the offsets of positions.
func offsets(positions map[ml.TopicName]ml.Position) map[ml.TopicName]ml.Offset {
	out := make(map[ml.TopicName]ml.Offset, len(positions))
	for to, po := range positions {
		out[to] = po.Offset
	}
	return out
}
