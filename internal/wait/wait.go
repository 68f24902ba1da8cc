// Package wait pauses for a duration or until a context ends.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) { Until(ctx, nil, d) }

// Until waits until a channel is closed, timeout passes or ctx ends.
func Until(ctx context.Context, closed <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
