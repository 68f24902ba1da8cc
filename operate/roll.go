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

// Store is the part of the platform that a roll needs.
type Store interface {
	Get(ctx context.Context, ref objectapi.Ref) (objectapi.Object, error)
	Put(ctx context.Context, ref objectapi.Ref, body []byte, at objectapi.Version) (objectapi.Version, error)
}

// maxReadBackTries bounds how often a roll asks what became of a write.
const maxReadBackTries = 8

// Errors of a roll; each says what to do.
var (
	// ErrLostRace means that another operator's roll came first.
	ErrLostRace = errors.New(`another roll came first and nothing of yours is in force; look at "croftvale bundle diff", then roll again`)
	// ErrReplaced means that the roll took effect, and another came after it.
	ErrReplaced = errors.New(`your roll took effect and has been replaced since; look at "croftvale bundle diff"`)
	// ErrOutcomeUnknown means that nobody can say yet whether the roll took effect.
	ErrOutcomeUnknown = errors.New(`the platform does not say whether the roll took effect; run "croftvale bundle status" when it answers again`)
)

// Roller puts signed bundles in force.
type Roller struct {
	Store    Store
	Operator string
	Key      ed25519.PrivateKey
	RollID   string // unique to this roll; tells it apart after a lost reply
	Now      time.Time
}

// Roll writes the content, then moves the pointer from what it read to the
// next generation. It returns the order that is in force through it.
func (r Roller) Roll(ctx context.Context, s SignedBundle) (bundle.Order, error) {
	if err := r.putContent(ctx, s); err != nil {
		return bundle.Order{}, err
	}
	current, at, err := CurrentOrder(ctx, r.Store)
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
	_, err = r.Store.Put(ctx, objectapi.BundlePointer, order.Encode(), at)
	if err == nil {
		return order, nil
	}
	return r.resolveOutcome(ctx, order, err)
}

// putContent stores the content under its digest. That it is there already,
// from this roll or an earlier one, is as good.
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

// resolveOutcome finds out what became of a pointer write that did not succeed
// plainly. After a lost reply only the roll id at the pointer tells.
func (r Roller) resolveOutcome(ctx context.Context, o bundle.Order, cause error) (bundle.Order, error) {
	conflict := errors.Is(cause, objectapi.ErrConflict)
	if !conflict && !errors.Is(cause, objectapi.ErrOutcomeUnknown) {
		return bundle.Order{}, errors.Wrap(cause, "move the bundle pointer; nothing is rolled")
	}
	now, err := retry(ctx, func() (bundle.Order, error) {
		now, _, err := CurrentOrder(ctx, r.Store)
		return now, err
	})
	switch {
	case err != nil:
		return bundle.Order{}, errors.Mark(err, ErrOutcomeUnknown)
	case now.RollID == o.RollID:
		return o, nil
	case slices.Contains(now.RecentRollIDs, o.RollID):
		return o, errors.Wrapf(ErrReplaced, "generation %d by %s at %s", now.Generation, now.Operator, now.CreatedAt)
	case conflict || now.Generation >= o.Generation:
		return bundle.Order{}, errors.Wrapf(ErrLostRace, "generation %d by %s at %s", now.Generation, now.Operator, now.CreatedAt)
	}
	// The pointer is where it was. A delayed write could still land, but not
	// unseen: it carries the same version condition as any next roll.
	return bundle.Order{}, errors.Wrapf(ErrOutcomeUnknown, "the pointer is still at generation %d", now.Generation)
}

// retry asks until the platform answers, with backoff.
func retry[T any](ctx context.Context, op func() (T, error)) (T, error) {
	return backoff.Retry(ctx, func() (T, error) {
		v, err := op()
		if err != nil && errors.Is(err, objectapi.ErrNotFound) {
			return v, backoff.Permanent(err)
		}
		return v, err
	}, backoff.WithMaxTries(maxReadBackTries))
}

// CurrentOrder reads the order in force and the pointer's version; a platform
// without one has generation 0.
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

// CurrentBundle reads the order in force and its bundle.
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
