package forwarder

import (
	"context"
	"fmt"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

const (
	// ticketTerm is how long memory stays set aside without renewal.
	ticketTerm = 3 * time.Second
	// ticketRenew is the time between renewals.
	ticketRenew = time.Second
	// ticketCall bounds one order to an engine.
	ticketCall = 800 * time.Millisecond
)

// ticket is memory set aside at a helper.
type ticket struct {
	at     ml.ListedEndpoint
	id     ml.HoldID
	memory ml.Tokens
}

// helperList returns the helpers as they are named to the engine that leads.
func (pl *placement) helperList() []ml.Helper {
	out := make([]ml.Helper, 0, len(pl.helpers))
	for _, ep := range pl.helpers {
		he := ml.Helper{Endpoint: ep.Endpoint}
		for _, ti := range pl.tickets {
			if ti.at.ID == ep.ID {
				he.Hold = ti.id
			}
		}
		out = append(out, he)
	}
	return out
}

// helperIDs returns the helpers for logs.
func (pl *placement) helperIDs() []ml.EndpointID {
	out := make([]ml.EndpointID, len(pl.helpers))
	for i, ep := range pl.helpers {
		out[i] = ep.ID
	}
	return out
}

// setAside reserves memory at the helpers for what the leading engine does not
// hold, all or none, and keeps it until giveBack.
func (fo *Forwarder) setAside(ctx context.Context, rq *Request, pl *placement) error {
	if pl.share == 0 {
		return nil
	}
	for i, ep := range pl.helpers {
		ti := ticket{at: ep, id: ml.HoldID(pl.flights[i+1]), memory: pl.share}
		pl.tickets = append(pl.tickets, ti)
		if err := fo.reserve(ctx, ti); err != nil {
			fo.giveBack(pl)
			return fmt.Errorf("set memory aside for %d tokens: %w", rq.Prompt, err)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	pl.stopTickets = cancel
	go fo.runTickets(ctx, pl.tickets)
	return nil
}

func (fo *Forwarder) reserve(ctx context.Context, ti ticket) error {
	ctx, cancel := context.WithTimeout(ctx, ticketCall)
	defer cancel()
	return fo.Exchanger.ReserveMemory(ctx, ti.at, ti.id, ti.memory, ticketTerm)
}

// runTickets renews tickets until ctx ends.
func (fo *Forwarder) runTickets(ctx context.Context, tickets []ticket) {
	_ = pacer.Every(ctx, ticketRenew, func(time.Time) { // ends with ctx only
		for _, ti := range tickets {
			if err := fo.reserve(ctx, ti); err != nil && ctx.Err() == nil {
				fo.Log.Warn("ticket not renewed", "ticket", ti.id, "endpoint", ti.at.ID, "error", err)
			}
		}
	})
}

// giveBack ends the tickets of a placement. It does not wait for the engines:
// a ticket that is not given back ends by itself.
func (fo *Forwarder) giveBack(pl *placement) {
	if pl.stopTickets != nil {
		pl.stopTickets()
	}
	for _, ti := range pl.tickets {
		go fo.runGiveBack(ti)
	}
	pl.tickets = nil
}

func (fo *Forwarder) runGiveBack(ti ticket) {
	ctx, cancel := context.WithTimeout(context.Background(), ticketCall)
	defer cancel()
	if err := fo.Exchanger.ReleaseMemory(ctx, ti.at, ti.id); err != nil {
		fo.Log.Warn("ticket not given back", "ticket", ti.id, "endpoint", ti.at.ID, "error", err)
	}
}
