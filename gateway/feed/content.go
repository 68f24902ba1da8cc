package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/internal/wait"
	"github.com/vmihailenco/msgpack/v5"
)

// Content is the newest content of one feed that this router knows, from whomever it came.
type Content[T any] struct {
	hooks    contentHooks[T]
	onChange func() // newer content is in force
	mu       sync.Mutex
	newest   atomic.Pointer[T]
	loaded   chan struct{} // closed when the first content has come
}

// kind is how content of one type is handled.
type contentHooks[T any] struct {
	// revision tells how new content is.
	revision func(*T) uint64
	// accept tells the decisions of newer content, before anybody else sees it.
	apply func(*T)
	// log writes that newer content is in force, and who told it.
	log func(newest *T, from string)
}

func (c *Content[T]) init(hooks contentHooks[T], onChange func()) {
	c.hooks, c.onChange, c.loaded = hooks, onChange, make(chan struct{})
}

// Newest returns the newest content, nil where there is none.
func (c *Content[T]) Newest() *T { return c.newest.Load() }

// HasContent tells whether any content has come.
func (c *Content[T]) HasContent() bool { return c.newest.Load() != nil }

// Revision tells how new the content is; 0 where there is none.
func (c *Content[T]) Revision() uint64 {
	if newest := c.newest.Load(); newest != nil {
		return c.hooks.revision(newest)
	}
	return 0
}

// Offer puts content in force where it is newer than what is known, and tells whether it
// is. It must hold every change up to its revision: older content is dropped, so what it
// lacks would never come. Also what this router wrote to the source is offered so, for
// the others to learn of it at once.
func (c *Content[T]) Offer(newer *T, from string) bool {
	return c.offer(newer, from, func(*T) {})
}

// offer offers content, and calls taken with what was known before where it is newer.
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

// Await waits until the first content has come, for some time at most, and tells whether
// it has.
func (c *Content[T]) Await(ctx context.Context, timeout time.Duration) bool {
	if !c.HasContent() {
		wait.Until(ctx, c.loaded, timeout)
	}
	return c.HasContent()
}

// ContentSince returns all content.
func (c *Content[T]) ContentSince(uint64) any { return c.newest.Load() }

// ApplyPulled offers content that another router told.
func (c *Content[T]) ApplyPulled(body []byte, from string) error {
	var pulled T
	if err := msgpack.Unmarshal(body, &pulled); err != nil {
		return err
	}
	c.Offer(&pulled, from)
	return nil
}
