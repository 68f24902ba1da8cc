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

// byName is a feed of objects of one kind, each with a name of its own.
type byName[T any] struct {
	Content[Listing[T]]
	about  Spec
	source sourceOf[T]
	listed objects[T]
	read   reading
}

// sourceOf says how the objects of one kind are read and watched.
type sourceOf[T any] struct {
	read  func(ctx context.Context) ([]T, uint64, error)
	watch func(ctx context.Context, since uint64, wait time.Duration) ([]Change[T], uint64, error)
	name  func(T) string
	// plural is what logs call them.
	plural string
	// same tells whether two listings hold the same, so that the newer isn't offered: every
	// router would pull it. nil: each is offered.
	same func(a, b []T) bool
}

func newByName[T any](o Options, about Spec, source sourceOf[T], take func(Listing[T]), changed func()) *byName[T] {
	b := &byName[T]{about: about, source: source, listed: newObjects(source.name)}
	b.init(kind[Listing[T]]{
		revision: func(l *Listing[T]) uint64 { return l.Revision },
		accept:   func(l *Listing[T]) { take(*l) },
		log: func(l *Listing[T], from string) {
			o.Log.Event(about.Name+"_listed").Uint64("revision", l.Revision).Str("from", from).Int(source.plural, len(l.All)).Msg("")
		},
	}, changed)
	return b
}

// Spec returns what is particular to the kind.
func (b *byName[T]) Spec() Spec { return b.about }

// Read reads all objects.
func (b *byName[T]) Read(ctx context.Context) (uint64, error) {
	all, at, err := b.source.read(ctx)
	if err != nil {
		return 0, err
	}
	b.listed.reset(all)
	if b.read.next(at, b.Revision()) {
		b.listed.keep(b.Newest().All)
	}
	b.offerListed(at)
	return at, nil
}

// Watch waits for changed objects.
func (b *byName[T]) Watch(ctx context.Context, since uint64, wait time.Duration) (uint64, error) {
	changes, at, err := b.source.watch(ctx, since, wait)
	if err != nil {
		return 0, err
	}
	b.listed.apply(changes)
	if len(changes) > 0 {
		b.offerListed(at)
	}
	return at, nil
}

func (b *byName[T]) offerListed(at uint64) {
	all := b.listed.all()
	// A newer era is told also where it brought nothing new: others would compare with the old one.
	newest := b.Newest()
	if newest != nil && EraOf(newest.Revision) == EraOf(at) && b.source.same != nil && b.source.same(newest.All, all) {
		return
	}
	b.Offer(&Listing[T]{Revision: at, All: all}, fromSource)
}
