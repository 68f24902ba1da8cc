package link

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxConns is the largest number of control links that a process accepts.
const maxConns = 4096

// Listen accepts links on a listener until ctx ends, then waits for all of them to end.
// It closes connections above maxConns at once.
func Listen(ctx context.Context, ln net.Listener, opts Options) error {
	ln = opts.listener(ln)
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxConns)
	for {
		raw, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept control links")
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = raw.Close() // the peer dials again
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			if err := serve(ctx, raw, opts); err != nil && opts.OnEnd != nil {
				opts.OnEnd(raw.RemoteAddr().String(), err)
			}
		})
	}
}
