//go:build review

package main

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store: a log with topics of one partition. Those
// whose name begins with "keyed." keep the newest record of each key.
type Store struct {
	mu      sync.Mutex
	topics  map[string][][]byte // the records of each topic, by offset
	era     int
	away    bool
	changed chan struct{} // closed at each append, and when the store goes away or returns
}

// answerTime is the time that each answer takes.
const answerTime = 4 * time.Millisecond

// maxPageItems is the number of records in a page of a listing at the most.
const maxPageItems = 500

func newStore() *Store {
	return &Store{topics: make(map[string][][]byte), era: 1, changed: make(chan struct{})}
}

// notify wakes all reads that wait. The caller must hold st.mu.
func (st *Store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// Put appends a record with a key, as the operator and the engines do, and returns its
// offset. No value deletes the key. It reports false while the store is away.
func (st *Store) Put(topic, key string, value []byte) (int, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.away {
		return 0, false
	}
	record := append([]byte{byte(len(key))}, key...)
	st.topics[topic] = append(st.topics[topic], append(record, value...))
	st.notify()
	return len(st.topics[topic]) - 1, true
}

// Copy returns the ends of all topics, from which Restore brings the store back.
func (st *Store) Copy() map[string]int {
	st.mu.Lock()
	defer st.mu.Unlock()
	out := make(map[string]int)
	for name, records := range st.topics {
		out[name] = len(records)
	}
	return out
}

// GoAway makes the store answer 503 until Restore.
func (st *Store) GoAway() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.away = true
	st.notify()
}

// Restore brings the store back from a copy: later records are lost.
func (st *Store) Restore(ends map[string]int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for name, records := range st.topics {
		st.topics[name] = slices.Clone(records[:ends[name]])
	}
	st.era++
	st.away = false
	st.notify()
}

// ServeHTTP implements http.Handler.
func (st *Store) ServeHTTP(wr http.ResponseWriter, hr *http.Request) {
	time.Sleep(answerTime)
	body, err := io.ReadAll(hr.Body)
	if err != nil {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	wr.Header().Set("Store-Era", strconv.Itoa(st.era))
	if st.away {
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name := hr.URL.Query().Get("topic")
	switch hr.Method + " " + hr.URL.Path {
	case "POST /log-append":
		st.append(wr, name, body)
	case "GET /log-read":
		st.read(wr, hr, name)
	case "GET /log-newest":
		st.newest(wr, hr, name)
	default:
		wr.WriteHeader(http.StatusNotFound)
	}
}

func (st *Store) append(wr http.ResponseWriter, name string, body []byte) {
	if name == "keyed.op" || name == "keyed.servers" {
		wr.WriteHeader(http.StatusForbidden) // the system may not write there
		return
	}
	offset := len(st.topics[name])
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		st.topics[name] = append(st.topics[name], slices.Clone(body[4:4+size]))
		body = body[4+size:]
	}
	st.notify()
	reply(wr, map[string]int{"offset": offset, "end": len(st.topics[name])})
}

// read answers as soon as there is a record. The caller must hold st.mu, which is released
// while it waits.
func (st *Store) read(wr http.ResponseWriter, hr *http.Request, name string) {
	query := hr.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < 0 {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(query.Get("waitMs")) // none is 0
	until := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		if st.away {
			panic(http.ErrAbortHandler) // the answer is lost
		}
		if from > len(st.topics[name]) {
			wr.Header().Set("Store-Era", strconv.Itoa(st.era))
			wr.WriteHeader(http.StatusGone)
			reply(wr, map[string]int{"first": 0})
			return
		}
		left := time.Until(until)
		if from < len(st.topics[name]) || left <= 0 {
			break
		}
		changed := st.changed
		st.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(left):
		case <-hr.Context().Done():
		}
		st.mu.Lock()
		if hr.Context().Err() != nil {
			return
		}
	}
	wr.Header().Set("Store-Era", strconv.Itoa(st.era))
	out := binary.BigEndian.AppendUint64(nil, uint64(len(st.topics[name])))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range st.topics[name][from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	_, _ = wr.Write(out) // fails only if the reader has left
}

// newest lists the newest record of each key that has a value. The caller must hold st.mu.
func (st *Store) newest(wr http.ResponseWriter, hr *http.Request, name string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	byKey := map[string]item{}
	if strings.HasPrefix(name, "keyed.") {
		for offset, record := range st.topics[name] {
			size := int(record[0]) + 1
			key := string(record[1:size])
			byKey[key] = item{key, base64.StdEncoding.EncodeToString(record[size:]), offset}
		}
	}
	items := []item{}
	for key, it := range byKey {
		if it.Value != "" && key > hr.URL.Query().Get("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	reply(wr, map[string]any{"items": items[:min(len(items), maxPageItems)], "hasMore": len(items) > maxPageItems, "end": len(st.topics[name])})
}

func reply(wr http.ResponseWriter, value any) {
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(value) // fails only if the reader has left
}
