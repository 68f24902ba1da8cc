package operate

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/objectapi"
)

// Store holds the methods of objectapi.Client that this package needs.
type Store interface {
	Get(ctx context.Context, ref objectapi.Ref) (objectapi.Object, error)
	Put(ctx context.Context, ref objectapi.Ref, body []byte, ifVersion objectapi.Version) (objectapi.Version, error)
}

// maxReadBackTries is the maximum number of attempts to read back a write whose
// outcome is unknown.
const maxReadBackTries = 8

// Errors of a roll. Each message includes a remedy.
var (
	// ErrLostRace means that another roll came first and this one had no effect.
	ErrLostRace = errors.New(`another roll came first and yours had no effect; look at "croftvale bundle diff", then roll again`)
	// ErrReplaced means that the roll took effect, but a later roll has replaced it.
	ErrReplaced = errors.New(`your roll took effect and has been replaced since; look at "croftvale bundle diff"`)
	// ErrOutcomeUnknown means that it is not known yet whether the roll took effect.
	ErrOutcomeUnknown = errors.New(`it is unknown whether the roll took effect; run "croftvale bundle status" when the platform is available again`)
)

// Roller rolls signed bundles: it writes an order to the platform that makes a
// bundle the active configuration of the fleet.
type Roller struct {
	Store    Store
	Operator string
	Key      ed25519.PrivateKey
	RollID   string    // unique to this roll; identifies it after a lost response
	Now      time.Time // creation time of the order
}

// Roll writes the content of s, then replaces the order at the bundle pointer with
// one of the next generation. It returns the order that took effect.
func (r Roller) Roll(ctx context.Context, s SignedBundle) (bundle.Order, error) {
	if err := r.putContent(ctx, s); err != nil {
		return bundle.Order{}, err
	}
	current, version, err := CurrentOrder(ctx, r.Store)
	if err != nil {
		return bundle.Order{}, err
	}
	order := bundle.Order{
		Generation:    current.Generation + 1,
		Digest:        s.Digest,
		RollID:        r.RollID,
		Operator:      r.Operator,
		CreatedAt:     r.Now.UTC().Format(time.RFC3339),
		RecentRollIDs: current.NextRecentRollIDs(),
		Signoffs:      s.Signoffs,
	}.Sign(r.Key)
	_, err = r.Store.Put(ctx, objectapi.BundlePointer, order.Encode(), version)
	if err == nil {
		return order, nil
	}
	return r.resolveOutcome(ctx, order, err)
}

// putContent stores the content under its digest. It also succeeds if this roll
// or an earlier one has already stored it.
func (r Roller) putContent(ctx context.Context, s SignedBundle) error {
	ref := objectapi.BundleContent(string(s.Digest))
	_, err := r.Store.Put(ctx, ref, s.Content, 0)
	if err == nil || errors.Is(err, objectapi.ErrConflict) {
		return nil
	}
	if !errors.Is(err, objectapi.ErrOutcomeUnknown) {
		return errors.Wrap(err, "store the bundle's content; nothing is rolled")
	}
	_, err = retry(ctx, func() (objectapi.Object, error) { return r.Store.Get(ctx, ref) })
	return errors.Wrap(err, "store the bundle's content; nothing is rolled")
}

// resolveOutcome determines whether a failed write of the pointer took effect.
// After a lost response, only the roll IDs in the current order show this.
func (r Roller) resolveOutcome(ctx context.Context, o bundle.Order, cause error) (bundle.Order, error) {
	conflict := errors.Is(cause, objectapi.ErrConflict)
	if !conflict && !errors.Is(cause, objectapi.ErrOutcomeUnknown) {
		return bundle.Order{}, errors.Wrap(cause, "move the bundle pointer; nothing is rolled")
	}
	current, err := retry(ctx, func() (bundle.Order, error) {
		current, _, err := CurrentOrder(ctx, r.Store)
		return current, err
	})
	switch {
	case err != nil:
		return bundle.Order{}, errors.Mark(err, ErrOutcomeUnknown)
	case current.RollID == o.RollID:
		return o, nil
	case slices.Contains(current.RecentRollIDs, o.RollID):
		return o, errors.Wrapf(ErrReplaced, "generation %d by %s at %s", current.Generation, current.Operator, current.CreatedAt)
	case conflict || current.Generation >= o.Generation:
		return bundle.Order{}, errors.Wrapf(ErrLostRace, "generation %d by %s at %s", current.Generation, current.Operator, current.CreatedAt)
	}
	// The pointer has not changed. A delayed write could still take effect, but
	// not unnoticed: it has the same version condition as the next roll, so only
	// one of the two can succeed.
	return bundle.Order{}, errors.Wrapf(ErrOutcomeUnknown, "the pointer is still at generation %d", current.Generation)
}

// retry calls op with backoff until it succeeds, returns ErrNotFound, or has been
// tried maxReadBackTries times.
func retry[T any](ctx context.Context, op func() (T, error)) (T, error) {
	return backoff.Retry(ctx, func() (T, error) {
		v, err := op()
		if err != nil && errors.Is(err, objectapi.ErrNotFound) {
			return v, backoff.Permanent(err)
		}
		return v, err
	}, backoff.WithMaxTries(maxReadBackTries))
}

// CurrentOrder reads the current order and the version of the bundle pointer. If
// the platform has no order, the generation and the version are 0.
func CurrentOrder(ctx context.Context, s Store) (bundle.Order, objectapi.Version, error) {
	obj, err := s.Get(ctx, objectapi.BundlePointer)
	if errors.Is(err, objectapi.ErrNotFound) {
		return bundle.Order{}, 0, nil
	}
	if err != nil {
		return bundle.Order{}, 0, errors.Wrap(err, "read the bundle pointer")
	}
	var o bundle.Order
	if err := json.Unmarshal(obj.Body, &o); err != nil {
		return bundle.Order{}, 0, errors.Wrap(err, "read the bundle pointer")
	}
	return o, obj.Version, nil
}

// CurrentBundle reads the current order and its bundle. If the platform has no
// order, both are zero.
func CurrentBundle(ctx context.Context, s Store) (bundle.Order, bundle.Bundle, error) {
	o, _, err := CurrentOrder(ctx, s)
	if err != nil || o.Generation == 0 {
		return o, bundle.Bundle{}, err
	}
	obj, err := s.Get(ctx, objectapi.BundleContent(string(o.Digest)))
	if err != nil {
		return o, bundle.Bundle{}, errors.Wrap(err, "read the bundle's content")
	}
	b, err := bundle.Unpack(obj.Body, o.Digest)
	return o, b, err
}
