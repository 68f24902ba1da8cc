package router

import (
	"context"
	"sync"

	"github.com/croftvale/croftvale/link"
	"github.com/phuslu/log"
)

// dialer maintains a link to each of a set of addresses.
type dialer struct {
	ctx     context.Context
	opts    link.Options
	log     *log.Logger
	wg      sync.WaitGroup
	cancels map[string]context.CancelFunc // by address
}

// setAddresses starts links to new addresses and closes those to addresses that
// are no longer in the set. Only the core calls it.
func (d *dialer) setAddresses(addresses map[string]bool) {
	for a, cancel := range d.cancels {
		if !addresses[a] {
			cancel()
			delete(d.cancels, a)
		}
	}
	for a := range addresses {
		if _, ok := d.cancels[a]; !ok {
			d.startLink(a)
		}
	}
}

// startLink starts a goroutine that maintains a link to the address until
// d.cancels[address] is called.
func (d *dialer) startLink(address string) {
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancels[address] = cancel
	d.wg.Go(func() {
		link.KeepConnected(ctx, address, d.opts, func(err error) {
			d.log.Debug().Str("address", address).Err(err).Msg("control link ended")
		})
	})
}
