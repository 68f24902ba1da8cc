package link

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/croftvale/croftvale/internal/wait"
)

const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second
)

// KeepConnected holds a link to an address open: it redials with exponential backoff and
// jitter until ctx ends. onEnd receives the reason why each link ended.
func KeepConnected(ctx context.Context, address string, opts Options, onEnd func(error)) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialRetryDelay
	b.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		start := time.Now()
		err := Dial(ctx, address, opts)
		if ctx.Err() != nil {
			return
		}
		onEnd(err)
		if time.Since(start) > maxRetryDelay {
			b.Reset()
		}
		wait.Sleep(ctx, b.NextBackOff())
	}
}
