//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// maxTickets is the number of reservations that an engine keeps at the most.
const maxTickets = 64

// order carries out an order for memory.
func (en *Engine) order(wr http.ResponseWriter, body []byte) {
	or := struct {
		Op     string `json:"op"`
		ID     string `json:"id"`
		Tokens int    `json:"tokens"`
		HoldMs int    `json:"holdMs"`
	}{}
	if json.Unmarshal(body, &or) != nil || or.Tokens > modelMemory {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	en.mu.Lock()
	defer en.mu.Unlock()
	ti, isFree := en.tickets[or.ID], en.free(now)
	switch {
	case or.Op == "release":
		delete(en.tickets, or.ID)
	case or.Op != "reserve":
		wr.WriteHeader(http.StatusBadRequest)
		return
	case ti != nil && ti.expires.After(now):
		ti.expires = now.Add(time.Duration(or.HoldMs) * time.Millisecond) // renewed
	case isFree < or.Tokens || len(en.tickets) >= maxTickets:
		wr.WriteHeader(http.StatusConflict)
		return
	default:
		en.tickets[or.ID] = &ticket{tokens: or.Tokens, expires: now.Add(time.Duration(or.HoldMs) * time.Millisecond)}
		go en.world.record("engine %s: sets %d tokens aside for ticket %s", en.ID, or.Tokens, or.ID)
	}
	reply(wr, map[string]int{"free": en.free(now)})
}

// free returns the memory that is neither used nor set aside. The caller must hold en.mu.
func (en *Engine) free(now time.Time) int {
	out := modelMemory - en.context
	for id, ti := range en.tickets {
		if ti.expires.Before(now) {
			delete(en.tickets, id)
			continue
		}
		out -= ti.tokens
	}
	return out
}

// usedTicket is a ticket at a helper that a request uses.
type usedTicket struct {
	engine *Engine
	id     string
	ticket *ticket
}

// usedTickets are those of one request.
type usedTickets []usedTicket

// useTickets has a request use the tickets in its list of helpers. The second result is false if
// a helper is gone or lacks the ticket.
func (en *Engine) useTickets(attempt, list string) (usedTickets, bool) {
	out := usedTickets{}
	if list == "" {
		return out, true
	}
	for _, entry := range strings.Split(list, ",") {
		address, id, _ := strings.Cut(strings.TrimSpace(entry), "/")
		en.world.mu.Lock()
		helper := en.world.engines[address]
		en.world.mu.Unlock()
		if helper == nil {
			return out, false
		}
		if id == "" {
			out = append(out, usedTicket{engine: helper})
			continue
		}
		ti := helper.use(attempt, id)
		if ti == nil {
			return out, false
		}
		out = append(out, usedTicket{helper, id, ti})
	}
	return out, true
}

// use has a request use a ticket, and returns nil if there is none.
func (en *Engine) use(attempt, id string) *ticket {
	en.mu.Lock()
	defer en.mu.Unlock()
	ti := en.tickets[id]
	if ti == nil || ti.expires.Before(time.Now()) {
		return nil
	}
	if len(ti.users) > 0 {
		en.shared = append(en.shared, fmt.Sprintf("ticket %s at %s is used by %s while %v uses it", id, en.ID, attempt, ti.users))
	}
	ti.users = append(ti.users, attempt)
	return ti
}

// Shared returns what happened when two requests used one ticket at the same time.
func (en *Engine) Shared() []string {
	en.mu.Lock()
	defer en.mu.Unlock()
	return append([]string(nil), en.shared...)
}

// leave ends the use of tickets by a request. That doesn't end the tickets.
func (us usedTickets) leave(attempt string) {
	for _, ut := range us {
		if ut.ticket == nil {
			continue
		}
		ut.engine.mu.Lock()
		for i, user := range ut.ticket.users {
			if user == attempt {
				ut.ticket.users = append(ut.ticket.users[:i:i], ut.ticket.users[i+1:]...)
				break
			}
		}
		ut.engine.mu.Unlock()
	}
}

// hasExpired reports whether the memory of a request has expired.
func (us usedTickets) hasExpired(now time.Time) bool {
	for _, ut := range us {
		if ut.ticket == nil {
			continue
		}
		ut.engine.mu.Lock()
		isOver := ut.engine.tickets[ut.id] != ut.ticket || ut.ticket.expires.Before(now)
		ut.engine.mu.Unlock()
		if isOver {
			return true
		}
	}
	return false
}
