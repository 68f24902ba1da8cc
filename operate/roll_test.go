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

// store is the platform's oracle: it keeps every pointer there ever was, loses
// replies, fails, and lets another operator in between.
type store struct {
	objects map[objectapi.Ref]objectapi.Object
	version objectapi.Version
	history []bundle.Order
	mishap  func() mishap
	between func() // runs before a pointer write
}

type mishap int

const (
	wellDone  mishap = iota
	refused          // not written
	lostReply        // written, but the answer is lost
	lostWrite        // not written, and the answer is lost too
)

func newStore(m func() mishap) *store {
	return &store{objects: map[objectapi.Ref]objectapi.Object{}, mishap: m}
}

func (s *store) Get(_ context.Context, ref objectapi.Ref) (objectapi.Object, error) {
	if s.mishap() == refused {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	o, ok := s.objects[ref]
	if !ok {
		return o, objectapi.ErrNotFound
	}
	return o, nil
}

func (s *store) Put(_ context.Context, ref objectapi.Ref, body []byte, at objectapi.Version) (objectapi.Version, error) {
	if ref == objectapi.BundlePointer && s.between != nil {
		between := s.between
		s.between = nil
		between()
	}
	m := s.mishap()
	switch {
	case m == refused:
		return 0, objectapi.ErrUnavailable
	case m == lostWrite:
		return 0, objectapi.ErrOutcomeUnknown
	case s.objects[ref].Version != at:
		return 0, objectapi.ErrConflict
	}
	s.version++
	s.objects[ref] = objectapi.Object{Ref: ref, Version: s.version, Body: body}
	if ref == objectapi.BundlePointer {
		o, _, err := CurrentOrder(context.Background(), &store{objects: s.objects, mishap: func() mishap { return wellDone }})
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

func (s *store) rolled(id string) bool {
	for _, o := range s.history {
		if o.RollID == id {
			return true
		}
	}
	return false
}

func roller(s Store, name, id string) Roller {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return Roller{Store: s, Operator: name, Key: ed25519.NewKeyFromSeed(seed), RollID: id, Now: time.Unix(0, 0)}
}

func signedOf(share int) SignedBundle {
	return NewSignedBundle(bundle.Bundle{Teams: []bundle.Team{{Name: "zurich", Share: float64(share)}}})
}

// TestRollsFormALine lets operators race under lost replies and outages. The
// accepted orders form a line, a roll that says it is in force is, and one that
// says it lost is not.
func TestRollsFormALine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) { raceOnce(rt) })
	})
}

func raceOnce(rt *rapid.T) {
	s := newStore(func() mishap {
		return mishap(max(0, rapid.IntRange(-5, 3).Draw(rt, "mishap")))
	})
	for i := range rapid.IntRange(1, 6).Draw(rt, "rolls") {
		if rapid.Bool().Draw(rt, "race") {
			s.between = func() { rollOnce(rt, s, "piet", fmt.Sprintf("p%d", i)) }
		}
		rollOnce(rt, s, "anna", fmt.Sprintf("a%d", i))
	}
	for i, o := range s.history {
		if int(o.Generation) != i+1 {
			rt.Fatalf("generation %d at place %d", o.Generation, i)
		}
	}
}

func rollOnce(rt *rapid.T, s *store, who, id string) {
	_, err := roller(s, who, id).Roll(context.Background(), signedOf(1))
	took := s.rolled(id)
	switch {
	case err == nil && !took:
		rt.Fatalf("%s says it rolled and did not", id)
	case errors.Is(err, ErrOutcomeUnknown):
		// Nothing was promised.
	case errors.Is(err, ErrReplaced):
		if !took {
			rt.Fatalf("%s says it took effect and did not", id)
		}
	case err != nil && took:
		rt.Fatalf("%s took effect and says %v", id, err)
	}
}

func TestLoserIsToldByWhom(t *testing.T) {
	s := newStore(func() mishap { return wellDone })
	s.between = func() {
		_, err := roller(s, "piet", "p").Roll(context.Background(), signedOf(2))
		require.NoError(t, err)
	}
	_, err := roller(s, "anna", "a").Roll(context.Background(), signedOf(1))
	require.ErrorIs(t, err, ErrLostRace)
	require.ErrorContains(t, err, "generation 1 by piet")
}

func TestLostReplyIsResolved(t *testing.T) {
	mishaps := []mishap{wellDone, wellDone, lostReply}
	s := newStore(func() mishap {
		if len(mishaps) == 0 {
			return wellDone
		}
		m := mishaps[0]
		mishaps = mishaps[1:]
		return m
	})
	o, err := roller(s, "anna", "a").Roll(context.Background(), signedOf(1))
	require.NoError(t, err)
	require.EqualValues(t, 1, o.Generation)
	require.Len(t, s.history, 1)
}
