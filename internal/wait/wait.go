// Package wait waits for a time that the end of a context cuts short.
package wait

import (
	"context"
	"time"
)

// Sleep waits for some time, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) { Until(ctx, nil, d) }

// Until waits until a channel is closed, for some time at most, or until ctx ends.
func Until(ctx context.Context, closed <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
