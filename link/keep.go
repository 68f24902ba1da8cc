package link

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/croftvale/croftvale/internal/wait"
)

const (
	firstRetry = 50 * time.Millisecond
	lastRetry  = time.Second
)

// KeepConnected holds a link to an address: it dials again, with exponential backoff
// and jitter, until ctx ends. report hears why each link ended.
func KeepConnected(ctx context.Context, address string, opts Options, report func(error)) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstRetry
	b.MaxInterval = lastRetry
	for ctx.Err() == nil {
		began := time.Now()
		err := Dial(ctx, address, opts)
		if ctx.Err() != nil {
			return
		}
		report(err)
		if time.Since(began) > lastRetry {
			b.Reset()
		}
		wait.Sleep(ctx, b.NextBackOff())
	}
}
