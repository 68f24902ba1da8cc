package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/internal/wait"
)

// Content holds the newest content of one feed that this router has received, from the
// source or from another router.
type Content[T any] struct {
	hooks    contentHooks[T]
	onChange func() // called after newer content is applied
	mu       sync.Mutex
	newest   atomic.Pointer[T]
	loaded   chan struct{} // closed when the first content is applied
}

// contentHooks holds the functions that handle content of one type.
type contentHooks[T any] struct {
	// revision returns the revision of the content.
	revision func(*T) uint64
	// apply passes newer content to the state machine, before it becomes visible to others.
	apply func(*T)
	// log logs that newer content was applied and where it came from.
	log func(newest *T, from string)
}

func (c *Content[T]) init(hooks contentHooks[T], onChange func()) {
	c.hooks, c.onChange, c.loaded = hooks, onChange, make(chan struct{})
}

// Newest returns the newest content, or nil if there is none.
func (c *Content[T]) Newest() *T { return c.newest.Load() }

// known returns the newest content, or its zero value if there is none: what was known before the
// source is restored from a backup.
func (c *Content[T]) known() T {
	if newest := c.newest.Load(); newest != nil {
		return *newest
	}
	var none T
	return none
}

// HasContent reports whether there is any content.
func (c *Content[T]) HasContent() bool { return c.newest.Load() != nil }

// Revision returns the revision of the newest content, or 0 if there is none.
func (c *Content[T]) Revision() uint64 {
	if newest := c.newest.Load(); newest != nil {
		return c.hooks.revision(newest)
	}
	return 0
}

// Offer applies content if it is newer than the current content, and reports whether it is. from
// is the origin of the content in logs: an address or fromSource.
// The content must include every change up to its revision: older content is dropped, so a
// change that is missing here would never be applied. Content that this router wrote to the
// source is offered too, so that the other routers receive it at once.
func (c *Content[T]) Offer(newer *T, from string) bool {
	return c.offer(newer, from, func(*T) {})
}

// offer is Offer, but calls onApplied with the previous content if the content is newer.
func (c *Content[T]) offer(newer *T, from string, onApplied func(old *T)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.newest.Load()
	if newer == nil || (old != nil && c.hooks.revision(newer) <= c.hooks.revision(old)) {
		return false
	}
	c.hooks.apply(newer)
	c.newest.Store(newer)
	if old == nil {
		close(c.loaded)
	}
	c.hooks.log(newer, from)
	onApplied(old)
	c.onChange()
	return true
}

// Await waits for the first content, at most for timeout, and reports whether there is
// any content.
func (c *Content[T]) Await(ctx context.Context, timeout time.Duration) bool {
	if !c.HasContent() {
		wait.Until(ctx, c.loaded, timeout)
	}
	return c.HasContent()
}

// ContentSince returns the whole content.
func (c *Content[T]) ContentSince(uint64) any { return c.newest.Load() }

// ApplyPulled decodes and offers content that was pulled from another router.
func (c *Content[T]) ApplyPulled(body []byte, from string) error {
	var pulled T
	if err := decodePulled(body, &pulled); err != nil {
		return err
	}
	c.Offer(&pulled, from)
	return nil
}
