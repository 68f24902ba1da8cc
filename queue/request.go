package queue

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// state is where a request stands.
type state uint8

const (
	stateWaiting  state = iota // holds a place in a line; has not run
	stateRunning               // was sent to an agent; may have run
	stateAnswered              // the caller has had the first byte
	stateEnded
)

// request is a request with what the machine keeps of it.
type request struct {
	Request
	state        state
	arrived      time.Duration
	expiresAt    time.Duration // when waiting ends
	claim        fleet.ClaimID
	possibleRuns int // runs that may have started
	returns      int // claims that ended without a start
	heapIndex    int // place in the expiry heap, -1 outside
}

// expiryHeap orders waiting requests by when their wait ends.
type expiryHeap []*request

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (r *request) before(o *request) bool {
	if r.expiresAt != o.expiresAt {
		return r.expiresAt < o.expiresAt
	}
	return r.ID < o.ID
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.heapIndex = -1
	return r
}
