package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/adopt"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/internal/wait"
	"github.com/croftvale/croftvale/objectapi"
	"github.com/croftvale/croftvale/settings"
	"github.com/phuslu/log"
)

const (
	defaultPollInterval = 5 * time.Second
	initialBackoff      = 100 * time.Millisecond
	maxBackoff          = 5 * time.Second
)

// platformWatcher reads the list of hosts and new bundles from the platform. No
// request waits for it.
type platformWatcher struct {
	settings  settings.Platform
	log       *log.Logger
	client    *objectapi.Client
	adopter   *adopt.Runner
	verifier  bundle.Verifier
	events    chan<- event
	reachable atomic.Bool
}

// pollHosts reads the list of hosts at intervals until ctx ends.
func (w *platformWatcher) pollHosts(ctx context.Context) {
	for ctx.Err() == nil {
		hosts, err := w.client.Hosts(ctx)
		w.recordCall("read host list", err)
		if err == nil {
			w.send(ctx, hostsEvent{hosts})
		}
		wait.Sleep(ctx, w.settings.Poll.Or(defaultPollInterval))
	}
}

func (w *platformWatcher) send(ctx context.Context, e event) {
	select {
	case w.events <- e:
	case <-ctx.Done():
	}
}

// watchBundles watches the platform for new bundles until ctx ends. A router whose settings
// don't enable watching stops after its first bundle; it gets later ones over
// links.
func (w *platformWatcher) watchBundles(ctx context.Context, haveBundle func() bool) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	var seen objectapi.Version
	for ctx.Err() == nil && (w.settings.Watch || !haveBundle()) {
		v, err := w.fetchNext(ctx, seen)
		w.recordCall("watch bundle", err)
		if err != nil {
			wait.Sleep(ctx, b.NextBackOff())
			continue
		}
		b.Reset()
		seen = v
	}
}

// fetchNext waits for a bundle pointer newer than seen and offers its bundle to
// the adopter. It returns the pointer's version.
func (w *platformWatcher) fetchNext(ctx context.Context, seen objectapi.Version) (objectapi.Version, error) {
	obj, err := w.client.Watch(ctx, objectapi.BundlePointer, seen)
	if errors.Is(err, objectapi.ErrNotFound) {
		return seen, nil
	}
	if err != nil {
		return seen, err
	}
	order, err := w.verifier.Decode(obj.Body)
	if err != nil {
		w.log.Warn().Err(err).Msg("bundle order from the platform rejected")
		return obj.Version, nil
	}
	content, err := w.client.Get(ctx, objectapi.BundleContent(string(order.Digest)))
	if err != nil {
		return seen, err
	}
	w.adopter.Offer(bundle.OfferMsg{Order: obj.Body, Content: content.Body})
	return obj.Version, nil
}

// recordCall records whether the platform responds, and logs each change.
func (w *platformWatcher) recordCall(call string, err error) {
	ok := err == nil || errors.Is(err, objectapi.ErrNotFound) || errors.Is(err, context.Canceled)
	if w.reachable.Swap(ok) == ok {
		return
	}
	if ok {
		w.log.Info().Msg("platform responds")
		return
	}
	w.log.Warn().Err(err).Str("call", call).Msg("platform does not respond; the active bundle stays active")
}
