package operate

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/objectapi"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fakeStore is an in-memory platform that records every order written to the
// bundle pointer. It can inject faults and run another operator's roll just before
// a pointer write.
type fakeStore struct {
	objects          map[objectapi.Ref]objectapi.Object
	version          objectapi.Version
	history          []bundle.Order
	nextFault        func() fault
	beforePointerPut func() // if not nil, runs once before the next pointer write
}

type fault int

const (
	noFault      fault = iota
	unavailable        // not written
	lostResponse       // written, but the response is lost
	lostWrite          // not written, and the response is lost
)

func newFakeStore(nextFault func() fault) *fakeStore {
	return &fakeStore{objects: map[objectapi.Ref]objectapi.Object{}, nextFault: nextFault}
}

func (s *fakeStore) Get(_ context.Context, ref objectapi.Ref) (objectapi.Object, error) {
	if s.nextFault() == unavailable {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	o, ok := s.objects[ref]
	if !ok {
		return o, objectapi.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) Put(_ context.Context, ref objectapi.Ref, body []byte, ifVersion objectapi.Version) (objectapi.Version, error) {
	if ref == objectapi.BundlePointer && s.beforePointerPut != nil {
		hook := s.beforePointerPut
		s.beforePointerPut = nil
		hook()
	}
	f := s.nextFault()
	switch {
	case f == unavailable:
		return 0, objectapi.ErrUnavailable
	case f == lostWrite:
		return 0, objectapi.ErrOutcomeUnknown
	case s.objects[ref].Version != ifVersion:
		return 0, objectapi.ErrConflict
	}
	s.version++
	s.objects[ref] = objectapi.Object{Ref: ref, Version: s.version, Body: body}
	if ref == objectapi.BundlePointer {
		o, _, err := CurrentOrder(context.Background(), &fakeStore{objects: s.objects, nextFault: func() fault { return noFault }})
		if err != nil {
			panic(err)
		}
		s.history = append(s.history, o)
	}
	if f == lostResponse {
		return 0, objectapi.ErrOutcomeUnknown
	}
	return s.version, nil
}

// accepted reports whether the roll with the given ID has ever taken effect.
func (s *fakeStore) accepted(id string) bool {
	for _, o := range s.history {
		if o.RollID == id {
			return true
		}
	}
	return false
}

func newRoller(s Store, name, id string) Roller {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return Roller{Store: s, Operator: name, Key: ed25519.NewKeyFromSeed(seed), RollID: id, Now: time.Unix(0, 0)}
}

func newTestSignedBundle(share int) SignedBundle {
	return NewSignedBundle(bundle.Bundle{Teams: []bundle.Team{{Name: "zurich", Share: float64(share)}}})
}

// TestRollsFormALine runs racing rolls of several operators with lost responses
// and outages. It checks that the accepted orders have consecutive generations,
// that every roll reported as successful or replaced took effect, and that no
// roll reported as failed did. A roll with an unknown outcome may have either.
func TestRollsFormALine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) { raceRolls(rt) })
	})
}

func raceRolls(rt *rapid.T) {
	s := newFakeStore(func() fault {
		return fault(max(0, rapid.IntRange(-5, 3).Draw(rt, "fault")))
	})
	for i := range rapid.IntRange(1, 6).Draw(rt, "rolls") {
		if rapid.Bool().Draw(rt, "race") {
			s.beforePointerPut = func() { rollOnce(rt, s, "piet", fmt.Sprintf("p%d", i)) }
		}
		rollOnce(rt, s, "anna", fmt.Sprintf("a%d", i))
	}
	for i, o := range s.history {
		if int(o.Generation) != i+1 {
			rt.Fatalf("order has generation %d at index %d", o.Generation, i)
		}
	}
}

// rollOnce runs one roll and checks its result against the orders that the store
// has accepted.
func rollOnce(rt *rapid.T, s *fakeStore, operator, id string) {
	_, err := newRoller(s, operator, id).Roll(context.Background(), newTestSignedBundle(1))
	tookEffect := s.accepted(id)
	switch {
	case err == nil && !tookEffect:
		rt.Fatalf("roll %s succeeded but did not take effect", id)
	case errors.Is(err, ErrOutcomeUnknown):
		// Either outcome is allowed.
	case errors.Is(err, ErrReplaced):
		if !tookEffect {
			rt.Fatalf("roll %s was reported as replaced but never took effect", id)
		}
	case err != nil && tookEffect:
		rt.Fatalf("roll %s took effect but returned %v", id, err)
	}
}

// TestLoserIsToldByWhom checks that a roll that loses a race returns an error with
// the generation and the operator of the winning roll.
func TestLoserIsToldByWhom(t *testing.T) {
	s := newFakeStore(func() fault { return noFault })
	s.beforePointerPut = func() {
		_, err := newRoller(s, "piet", "p").Roll(context.Background(), newTestSignedBundle(2))
		require.NoError(t, err)
	}
	_, err := newRoller(s, "anna", "a").Roll(context.Background(), newTestSignedBundle(1))
	require.ErrorIs(t, err, ErrLostRace)
	require.ErrorContains(t, err, "generation 1 by piet")
}

// TestLostReplyIsResolved checks that a roll succeeds, and is written only once,
// if the response to its pointer write is lost.
func TestLostReplyIsResolved(t *testing.T) {
	faults := []fault{noFault, noFault, lostResponse}
	s := newFakeStore(func() fault {
		if len(faults) == 0 {
			return noFault
		}
		next := faults[0]
		faults = faults[1:]
		return next
	})
	o, err := newRoller(s, "anna", "a").Roll(context.Background(), newTestSignedBundle(1))
	require.NoError(t, err)
	require.EqualValues(t, 1, o.Generation)
	require.Len(t, s.history, 1)
}
