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

// fakeStore is the platform's oracle: it keeps every pointer there ever was, loses
// replies, fails, and lets another operator in between.
type fakeStore struct {
	objects          map[objectapi.Ref]objectapi.Object
	version          objectapi.Version
	history          []bundle.Order
	nextFault        func() fault
	beforePointerPut func() // runs before a pointer write
}

type fault int

const (
	noFault     fault = iota
	unavailable       // not written
	lostReply         // written, but the answer is lost
	lostWrite         // not written, and the answer is lost too
)

func newStore(m func() fault) *fakeStore {
	return &fakeStore{objects: map[objectapi.Ref]objectapi.Object{}, nextFault: m}
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

func (s *fakeStore) Put(_ context.Context, ref objectapi.Ref, body []byte, at objectapi.Version) (objectapi.Version, error) {
	if ref == objectapi.BundlePointer && s.beforePointerPut != nil {
		hook := s.beforePointerPut
		s.beforePointerPut = nil
		hook()
	}
	m := s.nextFault()
	switch {
	case m == unavailable:
		return 0, objectapi.ErrUnavailable
	case m == lostWrite:
		return 0, objectapi.ErrOutcomeUnknown
	case s.objects[ref].Version != at:
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
	if m == lostReply {
		return 0, objectapi.ErrOutcomeUnknown
	}
	return s.version, nil
}

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

func newSignedBundle(share int) SignedBundle {
	return NewSignedBundle(bundle.Bundle{Teams: []bundle.Team{{Name: "zurich", Share: float64(share)}}})
}

// TestRollsFormALine lets operators race under lost replies and outages. The
// accepted orders form a line, a roll that says it is in force is, and one that
// says it lost is not.
func TestRollsFormALine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) { raceRolls(rt) })
	})
}

func raceRolls(rt *rapid.T) {
	s := newStore(func() fault {
		return fault(max(0, rapid.IntRange(-5, 3).Draw(rt, "mishap")))
	})
	for i := range rapid.IntRange(1, 6).Draw(rt, "rolls") {
		if rapid.Bool().Draw(rt, "race") {
			s.beforePointerPut = func() { rollOnce(rt, s, "piet", fmt.Sprintf("p%d", i)) }
		}
		rollOnce(rt, s, "anna", fmt.Sprintf("a%d", i))
	}
	for i, o := range s.history {
		if int(o.Generation) != i+1 {
			rt.Fatalf("generation %d at place %d", o.Generation, i)
		}
	}
}

func rollOnce(rt *rapid.T, s *fakeStore, who, id string) {
	_, err := newRoller(s, who, id).Roll(context.Background(), newSignedBundle(1))
	tookEffect := s.accepted(id)
	switch {
	case err == nil && !tookEffect:
		rt.Fatalf("%s says it rolled and did not", id)
	case errors.Is(err, ErrOutcomeUnknown):
		// Nothing was promised.
	case errors.Is(err, ErrReplaced):
		if !tookEffect {
			rt.Fatalf("%s says it took effect and did not", id)
		}
	case err != nil && tookEffect:
		rt.Fatalf("%s took effect and says %v", id, err)
	}
}

func TestLoserIsToldByWhom(t *testing.T) {
	s := newStore(func() fault { return noFault })
	s.beforePointerPut = func() {
		_, err := newRoller(s, "piet", "p").Roll(context.Background(), newSignedBundle(2))
		require.NoError(t, err)
	}
	_, err := newRoller(s, "anna", "a").Roll(context.Background(), newSignedBundle(1))
	require.ErrorIs(t, err, ErrLostRace)
	require.ErrorContains(t, err, "generation 1 by piet")
}

func TestLostReplyIsResolved(t *testing.T) {
	faults := []fault{noFault, noFault, lostReply}
	s := newStore(func() fault {
		if len(faults) == 0 {
			return noFault
		}
		m := faults[0]
		faults = faults[1:]
		return m
	})
	o, err := newRoller(s, "anna", "a").Roll(context.Background(), newSignedBundle(1))
	require.NoError(t, err)
	require.EqualValues(t, 1, o.Generation)
	require.Len(t, s.history, 1)
}
