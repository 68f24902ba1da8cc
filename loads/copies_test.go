package loads

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// sentCopy is a copy in the lists from one router to another.
type sentCopy struct {
	from, to string
	copy     Copy
}

// countCopies records the numbers of the lists that announce each copy.
func (s *lossyNetwork) countCopies() map[sentCopy]map[uint64]bool {
	lists := make(map[sentCopy]map[uint64]bool)
	s.onSend = func(from string, f packet) {
		for _, c := range f.msg.Copies {
			one := sentCopy{from, f.to, c}
			if lists[one] == nil {
				lists[one] = make(map[uint64]bool)
			}
			lists[one][f.msg.Number] = true
		}
	}
	return lists
}

// makeCopies makes a copy at each router in each round, and returns the router that made each copy.
func (s *lossyNetwork) makeCopies(rounds int) map[Copy]Router {
	made := make(map[Copy]Router)
	for range rounds {
		for i, r := range s.routers {
			one := Copy{Part: uint64(len(made)), Server: uint32(i)}
			made[one] = r
			s.newCopies[r.Address] = append(s.newCopies[r.Address], one)
		}
		s.run(1, nil)
	}
	return made
}

// countArrived returns how many announcements arrived and how many should have: one of each copy at
// every other router of its maker's region. It fails if a router receives a copy twice, its own
// copy, or one of another region.
func (s *lossyNetwork) countArrived(t *testing.T, made map[Copy]Router) (received, all int) {
	for one, maker := range made {
		for _, r := range s.routers {
			if r.Region != maker.Region || r.Address == maker.Address {
				require.Zero(t, s.copies[r.Address][one], "%s received a copy of %s", r.Address, maker.Address)
				continue
			}
			all++
			received += s.copies[r.Address][one]
			require.LessOrEqual(t, s.copies[r.Address][one], 1)
		}
	}
	return received, all
}

// TestCopiesArriveWithin100ms checks that every router of a region receives a copy within 100 ms.
func TestCopiesArriveWithin100ms(t *testing.T) {
	s := newLossyNetwork(1, "north/a", "north/a", "north/a", "north/b", "north/b", "north/c", "south/d")
	s.run(20, nil)
	made := s.makeCopies(1)
	s.run(3, nil)
	received, all := s.countArrived(t, made)
	require.Equal(t, all, received)
}

// TestCopiesUnderLoss loses a tenth of all lists. More than 99% of the copies must arrive, and none
// may be in more than three lists from one router to another.
func TestCopiesUnderLoss(t *testing.T) {
	s := newLossyNetwork(1, append(threeRegions, "north/f", "north/f")...)
	s.run(20, nil)
	s.faultRate = 0.1
	lists := s.countCopies()
	made := s.makeCopies(100)
	s.run(20, nil)
	received, all := s.countArrived(t, made)
	require.Greater(t, received, all*99/100, "of %d", all)
	for one, numbers := range lists {
		require.LessOrEqual(t, len(numbers), copyRepeats, "%+v", one)
		if from := s.hallOf(one.from); from != s.hallOf(one.to) {
			require.Equal(t, from, made[one.copy].Hall, "a hall sends other halls only its own copies")
		}
	}
}

// TestCopiesWithinBudget makes more copies than lists may hold. No list may exceed its limit, and
// the newest copies must be sent.
func TestCopiesWithinBudget(t *testing.T) {
	s := newLossyNetwork(1, "north/a", "north/a", "north/a", "north/b", "north/b")
	s.run(20, nil)
	s.onSend = func(_ string, f packet) { require.LessOrEqual(t, len(f.msg.Copies), maxCopiesPerList) }
	var last Copy
	for part := range 40 * maxCopiesPerList {
		last = Copy{Part: uint64(part), Server: 1}
		s.newCopies["r0"] = append(s.newCopies["r0"], last)
		if part%maxCopiesPerList == 0 {
			s.run(1, nil)
		}
	}
	s.run(4, nil)
	for _, r := range s.routers[1:] {
		require.Equal(t, 1, s.copies[r.Address][last], r.Address)
	}
}

// TestExpiredCopiesAreSentAgain checks that a copy that is made again after copyTTL is announced
// again.
func TestExpiredCopiesAreSentAgain(t *testing.T) {
	s := newLossyNetwork(1, "north/a", "north/b")
	s.run(20, nil)
	one := Copy{Part: 1, Server: 1}
	for range 2 {
		s.newCopies["r0"] = []Copy{one}
		s.run(2*int(copyTTL/RoundInterval), nil)
	}
	require.Equal(t, 2, s.copies["r1"][one])
	require.Empty(t, s.exchanges["r1"].copies.entries)
}
