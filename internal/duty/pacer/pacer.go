// Package pacer waits between the steps of a loop.
package pacer

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	ti := time.NewTimer(d)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	}
}
