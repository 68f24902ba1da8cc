package feed

import (
	"context"
	"time"
)

// Listing is all objects of one kind at one revision of their source.
type Listing[T any] struct {
	Revision uint64
	All      []T // by name
}

// objectFeed is a feed of objects of one kind, each with a name of its own.
type objectFeed[T any] struct {
	Content[Listing[T]]
	spec     Spec
	source   objectSource[T]
	listed   objectSet[T]
	lastRead readRevision
}

// objectSource says how the objects of one kind are read and watched.
type objectSource[T any] struct {
	read  func(ctx context.Context) ([]T, uint64, error)
	watch func(ctx context.Context, since uint64, wait time.Duration) ([]Change[T], uint64, error)
	name  func(T) string
	// plural is what logs call them.
	plural string
	// same tells whether two listings hold the same, so that the newer isn't offered: every
	// router would pull it. nil: each is offered.
	equal func(a, b []T) bool
}

func newObjectFeed[T any](o Options, spec Spec, source objectSource[T], apply func(Listing[T]), onChange func()) *objectFeed[T] {
	f := &objectFeed[T]{spec: spec, source: source, listed: newObjectSet(source.name)}
	f.init(contentHooks[Listing[T]]{
		revision: func(l *Listing[T]) uint64 { return l.Revision },
		apply:    func(l *Listing[T]) { apply(*l) },
		log: func(l *Listing[T], from string) {
			o.Log.Event(spec.Name+"_listed").Uint64("revision", l.Revision).Str("from", from).Int(source.plural, len(l.All)).Msg("")
		},
	}, onChange)
	return f
}

// Spec returns what is particular to the kind.
func (f *objectFeed[T]) Spec() Spec { return f.spec }

// Read reads all objects.
func (f *objectFeed[T]) Read(ctx context.Context) (uint64, error) {
	all, revision, err := f.source.read(ctx)
	if err != nil {
		return 0, err
	}
	f.listed.reset(all)
	if f.lastRead.advance(revision, f.Revision()) {
		f.listed.retain(f.Newest().All)
	}
	f.offerListed(revision)
	return revision, nil
}

// Watch waits for changed objects.
func (f *objectFeed[T]) Watch(ctx context.Context, since uint64, wait time.Duration) (uint64, error) {
	changes, revision, err := f.source.watch(ctx, since, wait)
	if err != nil {
		return 0, err
	}
	f.listed.apply(changes)
	if len(changes) > 0 {
		f.offerListed(revision)
	}
	return revision, nil
}

func (f *objectFeed[T]) offerListed(revision uint64) {
	all := f.listed.all()
	// A newer era is told also where it brought nothing new: others would compare with the old one.
	newest := f.Newest()
	if newest != nil && EraOf(newest.Revision) == EraOf(revision) && f.source.equal != nil && f.source.equal(newest.All, all) {
		return
	}
	f.Offer(&Listing[T]{Revision: revision, All: all}, fromSource)
}
