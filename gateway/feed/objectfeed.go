package feed

import (
	"context"
	"time"
)

// Listing holds all objects of one kind at one revision of the source.
type Listing[T any] struct {
	Revision uint64
	All      []T // sorted by name
}

// objectFeed is a feed of objects of one kind, each with a unique name.
type objectFeed[T any] struct {
	Content[Listing[T]]
	spec     Spec
	source   objectSource[T]
	listed   objectSet[T]
	lastRead readRevision
}

// objectSource holds the functions that read and watch the objects of one kind.
type objectSource[T any] struct {
	read  func(ctx context.Context) ([]T, uint64, error)
	watch func(ctx context.Context, since uint64, wait time.Duration) ([]Change[T], uint64, error)
	name  func(T) string
	// countKey is the log key of the number of objects.
	countKey string
	// equal reports whether two listings hold the same objects. A listing that is equal to the
	// current one is not offered, because every router would pull it. If equal is nil, every
	// listing is offered.
	equal func(a, b []T) bool
	// skipEmpty leaves the feed without content until there is an object. Each revision that a router
	// has is in all its heartbeats.
	skipEmpty bool
	// writtenAgain is set if a router writes the objects again that a restored source lacks.
	writtenAgain bool
}

func newObjectFeed[T any](o Options, spec Spec, source objectSource[T], apply func(Listing[T]), onChange func()) *objectFeed[T] {
	f := &objectFeed[T]{spec: spec, source: source, listed: newObjectSet(source.name)}
	f.init(contentHooks[Listing[T]]{
		revision: func(l *Listing[T]) uint64 { return l.Revision },
		apply:    func(l *Listing[T]) { apply(*l) },
		log: func(l *Listing[T], from string) {
			o.Log.Event(spec.Name+"_listed").Uint64("revision", l.Revision).Str("from", from).Int(source.countKey, len(l.All)).Msg("")
		},
	}, onChange)
	return f
}

// Spec returns the settings of the feed.
func (f *objectFeed[T]) Spec() Spec { return f.spec }

// Read reads all objects from the source.
func (f *objectFeed[T]) Read(ctx context.Context) (uint64, error) {
	all, revision, err := f.source.read(ctx)
	if err != nil {
		return 0, err
	}
	f.listed.reset(all)
	if f.lastRead.advance(revision, f.Revision()) {
		f.keepKnown()
	}
	f.listed.dropAwaited(time.Now())
	f.offerListed(revision)
	return revision, nil
}

// Watch waits for changes of the objects.
func (f *objectFeed[T]) Watch(ctx context.Context, since uint64, wait time.Duration) (uint64, error) {
	changes, revision, err := f.source.watch(ctx, since, wait)
	if err != nil {
		return 0, err
	}
	f.listed.apply(changes)
	if f.listed.dropAwaited(time.Now()) || len(changes) > 0 {
		f.offerListed(revision)
	}
	return revision, nil
}

// keepKnown keeps the objects that were known before the source was restored from a backup.
func (f *objectFeed[T]) keepKnown() {
	previous := f.known().All
	if f.source.writtenAgain {
		f.listed.await(previous, time.Now())
	}
	f.listed.retain(previous)
}

func (f *objectFeed[T]) offerListed(revision uint64) {
	all := f.listed.all()
	// An equal listing of a newer era is offered nevertheless. Other routers would otherwise keep
	// the old era in their revision and compare with that.
	newest := f.Newest()
	if newest == nil && len(all) == 0 && f.source.skipEmpty {
		return
	}
	if newest != nil && EraOf(newest.Revision) == EraOf(revision) && f.source.equal != nil && f.source.equal(newest.All, all) {
		return
	}
	f.Offer(&Listing[T]{Revision: revision, All: all}, fromSource)
}
