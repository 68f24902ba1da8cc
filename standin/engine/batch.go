package engine

import (
	"context"
	"slices"
	"sync"
)

// batch admits requests up to its slots, lower priority numbers first.
type batch struct {
	mu      sync.Mutex
	slots   int
	running int
	waiting []*waiter
}

type waiter struct {
	priority int
	admitted chan struct{}
}

func newBatch(slots int) *batch { return &batch{slots: max(slots, 1)} }

func (b *batch) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// enter waits for a slot; it returns false if ctx ends first.
func (b *batch) enter(ctx context.Context, priority int) bool {
	w := &waiter{priority: priority, admitted: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, w)
	slices.SortStableFunc(b.waiting, func(x, y *waiter) int { return x.priority - y.priority })
	b.fill()
	b.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
		return b.giveUp(w)
	}
}

// giveUp removes a waiter; one that was admitted meanwhile keeps its slot.
func (b *batch) giveUp(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, w); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return false
	}
	return true
}

func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.fill()
}

func (b *batch) fill() {
	for b.running < b.slots && len(b.waiting) > 0 {
		close(b.waiting[0].admitted)
		b.waiting = b.waiting[1:]
		b.running++
	}
}
