// Package pacer provides waits and periodic loops that end with a context.
package pacer

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	ti := time.NewTimer(d)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	}
}

// Every calls step with the current time at each interval until ctx ends, and then
// returns ctx.Err(). A step that takes longer than the interval delays the next.
func Every(ctx context.Context, interval time.Duration, step func(now time.Time)) error {
	ti := time.NewTicker(interval)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ti.C:
			step(time.Now())
		}
	}
}
