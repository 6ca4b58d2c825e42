package cataloger_test

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/attester"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
)

// exchange is a store, the catalogs of some entry VMs, and what is on its way to them.
type exchange struct {
	now       time.Time
	records   []ml.KeyRecord // of the store
	writtenAt []time.Time
	catalogs  []*cataloger.Cataloger
	onTheWay  []func() // each applies an answer or a message, in any order
}

func (ex *exchange) put(key, value string) {
	ex.records = append(ex.records, record(key, value, ml.Offset(len(ex.records))))
	ex.writtenAt = append(ex.writtenAt, ex.now)
}

func (ex *exchange) end() ml.Position { return ml.Position{Offset: ml.Offset(len(ex.records))} }

// read has a catalog read at most some records from an offset, or from where it has read.
func (ex *exchange) read(ca *cataloger.Cataloger, offset, most int) {
	from := ca.ReadPosition("t")
	if offset >= 0 {
		from.Offset = min(ml.Offset(offset), ex.end().Offset)
	}
	next := min(from.Offset+ml.Offset(most), ex.end().Offset)
	rd := &attester.Read{Topic: "t", Records: slices.Clone(ex.records[from.Offset:next]), From: from, Next: ml.Position{Offset: next}, End: ex.end().Offset, Current: ex.now}
	ex.onTheWay = append(ex.onTheWay, func() { ca.ApplyRead(ex.now, rd) })
}

// list has a catalog list the keys, of which the last page may be missing.
func (ex *exchange) list(ca *cataloger.Cataloger, isWhole bool) {
	items := []ml.KeyRecord{}
	for i, re := range ex.records {
		isNewest := !slices.ContainsFunc(ex.records[i+1:], func(other ml.KeyRecord) bool { return other.Key == re.Key })
		if isNewest && re.Value != nil {
			items = append(items, re)
		}
	}
	if !isWhole {
		items = items[:len(items)/2]
	}
	li := attester.NewListing("t", ex.end(), ex.now)
	li.AddPage(items, isWhole)
	ex.onTheWay = append(ex.onTheWay, func() { ca.ApplyListing(ex.now, li) })
}

// push sends one of the records that an entry VM knows to another one, and fetch all.
func (ex *exchange) push(from, to *cataloger.Cataloger, nth int) {
	if known := from.RecordsFrom(nil).Records; len(known) > 0 {
		slices.SortFunc(known, func(a, b ml.KeyRecord) int { return cmp.Compare(a.Key, b.Key) })
		re := known[nth%len(known)]
		ex.onTheWay = append(ex.onTheWay, func() { to.Merge(ex.now, []ml.KeyRecord{re}, nil) })
	}
}

func (ex *exchange) fetch(from, to *cataloger.Cataloger) {
	own := to.ListedPositions()
	reply := from.RecordsFrom(own)
	ex.onTheWay = append(ex.onTheWay, func() {
		to.Merge(ex.now, reply.Records, reply.Covered(own))
		to.Adopt(ex.now, &reply)
	})
}

// ask has an entry VM ask another one what it has confirmed.
func (ex *exchange) ask(from, to *cataloger.Cataloger) {
	askedAt := ex.now
	if co, found := from.Confirmations(ex.now)["t"]; found {
		ex.onTheWay = append(ex.onTheWay, func() { to.Confirm(askedAt, "t", co) })
	}
}

// check checks that a catalog holds of each key what the store held at the time that it has confirmed,
// or later.
func (ex *exchange) check(rt *rapid.T, ca *cataloger.Cataloger, keys []string) {
	confirmedAt := ca.ConfirmedAt("t")
	if confirmedAt.IsZero() {
		return
	}
	known := map[string]string{}
	for _, re := range ca.RecordsFrom(nil).Records {
		known[re.Key] = string(re.Value)
	}
	for _, key := range keys {
		before, since := "", []string{}
		for i, re := range ex.records {
			switch {
			case re.Key != key:
			case ex.writtenAt[i].After(confirmedAt):
				since = append(since, string(re.Value))
			default:
				before = string(re.Value)
			}
		}
		if !slices.Contains(append(since, before), known[key]) {
			rt.Fatalf("%q of %s, but the store held %q at %s, and %q since", known[key], key, before, confirmedAt, since)
		}
	}
}

// TestConfirmedIsKnown checks that whoever has confirmed a time knows what the store had acknowledged by
// then, whatever parts of answers, copies, messages and words of others arrive, and in which order.
func TestConfirmedIsKnown(t *testing.T) {
	keys := []string{"config", "out/a", "out/b", "e1", "e2"}
	rapid.Check(t, func(rt *rapid.T) {
		ex := &exchange{now: start}
		for range 3 {
			ex.catalogs = append(ex.catalogs, newCataloger())
		}
		one := func() *cataloger.Cataloger { return rapid.SampledFrom(ex.catalogs).Draw(rt, "entry VM") }
		version := 0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			ex.now = ex.now.Add(time.Second)
			switch rapid.SampledFrom([]string{"put", "put", "read", "read", "list", "push", "fetch", "ask", "ask", "arrive", "arrive", "arrive", "arrive"}).Draw(rt, "step") {
			case "put":
				key, value := rapid.SampledFrom(keys).Draw(rt, "key"), rapid.SampledFrom([]string{"", "live@a", "leaving@b"}).Draw(rt, "value")
				if key == "config" {
					version++
					value = strconv.Itoa(version)
				}
				ex.put(key, value)
			case "read":
				ex.read(one(), rapid.IntRange(-5, 5).Draw(rt, "from"), rapid.IntRange(0, 4).Draw(rt, "most"))
			case "list":
				ex.list(one(), rapid.Bool().Draw(rt, "whole"))
			case "push":
				ex.push(one(), one(), rapid.IntRange(0, 9).Draw(rt, "nth"))
			case "fetch":
				ex.fetch(one(), one())
			case "ask":
				ex.ask(one(), one())
			case "arrive":
				if len(ex.onTheWay) > 0 {
					i := rapid.IntRange(0, len(ex.onTheWay)-1).Draw(rt, fmt.Sprint("of ", len(ex.onTheWay)))
					arrives := ex.onTheWay[i]
					ex.onTheWay = slices.Delete(ex.onTheWay, i, i+1)
					arrives()
				}
			}
			for _, ca := range ex.catalogs {
				ex.check(rt, ca, keys)
			}
		}
	})
}
