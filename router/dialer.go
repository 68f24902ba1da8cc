package router

import (
	"context"
	"sync"

	"github.com/croftvale/croftvale/link"
	"github.com/phuslu/log"
)

// dialer keeps a link to each address that is wanted.
type dialer struct {
	ctx  context.Context
	opts link.Options
	log  *log.Logger
	wg   sync.WaitGroup
	kept map[string]context.CancelFunc
}

// want starts links to new addresses and ends those no longer wanted. Only the
// core calls it.
func (d *dialer) want(addresses map[string]bool) {
	for a, cancel := range d.kept {
		if !addresses[a] {
			cancel()
			delete(d.kept, a)
		}
	}
	for a := range addresses {
		if _, ok := d.kept[a]; !ok {
			d.keep(a)
		}
	}
}

func (d *dialer) keep(address string) {
	ctx, cancel := context.WithCancel(d.ctx)
	d.kept[address] = cancel
	d.wg.Go(func() {
		link.KeepConnected(ctx, address, d.opts, func(err error) {
			d.log.Debug().Str("address", address).Err(err).Msg("control link ended")
		})
	})
}
