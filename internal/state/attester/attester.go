// Package attester holds answers of the platform's store about a topic, and tells up to which time
// they are all that the store had acknowledged. Only a read that reached the topic's end, or a
// listing of all keys, proves that: an answer may hold a part of what there is.
package attester

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// Proof shows that all that the store had acknowledged in a topic by a time is known to whoever
// has applied the answer that it comes from. The zero value proves nothing, and other packages can
// make no other one.
type Proof struct {
	topic ml.TopicName
	at    time.Time
}

// Topic returns the topic, which is empty for a proof of nothing.
func (pr Proof) Topic() ml.TopicName { return pr.topic }

// At returns the time up to which all that the store had acknowledged is known.
func (pr Proof) At() time.Time { return pr.at }

// Read is the answer to one read of a topic.
type Read struct {
	Topic   ml.TopicName
	Records []ml.KeyRecord
	From    ml.Position // of the first record
	Next    ml.Position // after the last one
	End     ml.Offset   // of the topic, when the store answered
	// Current is a time at which the topic had no other records than these, if they reach its end.
	Current time.Time
}

// Count returns the number of records from From to Next.
func (rd *Read) Count() int { return int(rd.Next.Offset - rd.From.Offset) }

// Remaining returns the number of records from Next to the topic's end.
func (rd *Read) Remaining() int { return max(int(rd.End-rd.Next.Offset), 0) }

// IsWhole reports whether the read has reached the topic's end.
func (rd *Read) IsWhole() bool { return rd.Topic != "" && rd.Remaining() == 0 }

// Proof returns what the read proves to whoever knew all before From: nothing unless it has
// reached the topic's end.
func (rd *Read) Proof() Proof {
	if !rd.IsWhole() {
		return Proof{}
	}
	return Proof{rd.Topic, rd.Current}
}

// DropSuperseded drops the records whose key has a newer one in the same read.
func (rd *Read) DropSuperseded() {
	last := make(map[string]int, len(rd.Records))
	for i, re := range rd.Records {
		last[re.Key] = i
	}
	newest := make([]ml.KeyRecord, 0, len(last))
	for i, re := range rd.Records {
		if last[re.Key] == i {
			newest = append(newest, re)
		}
	}
	rd.Records = newest
}

// Listing is the newest record of each key of a topic. It is read page by page.
type Listing struct {
	topic   ml.TopicName
	records []ml.KeyRecord
	end     ml.Position
	at      time.Time
	isWhole bool
}

// NewListing returns a listing without records of a topic that ended at a position at a time,
// before any page was asked for.
func NewListing(to ml.TopicName, end ml.Position, at time.Time) *Listing {
	return &Listing{topic: to, end: end, at: at}
}

// AddPage adds the records of the next page. After the last page the listing is whole.
func (li *Listing) AddPage(records []ml.KeyRecord, isLast bool) {
	li.records, li.isWhole = append(li.records, records...), isLast
}

// Topic returns the topic.
func (li *Listing) Topic() ml.TopicName { return li.topic }

// Records returns the records of the pages until now.
func (li *Listing) Records() []ml.KeyRecord { return li.records }

// End returns the end of the topic before it was listed. A record from there on may be in the
// listing or not.
func (li *Listing) End() ml.Position { return li.end }

// IsWhole reports whether all keys are listed.
func (li *Listing) IsWhole() bool { return li.isWhole }

// Proof returns what the listing proves: nothing unless all keys are listed.
func (li *Listing) Proof() Proof {
	if !li.isWhole {
		return Proof{}
	}
	return Proof{li.topic, li.at}
}
