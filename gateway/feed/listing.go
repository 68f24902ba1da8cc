package feed

import (
	"context"
	"time"
)

// Listing is all objects of one kind at one revision of their source.
type Listing[T any] struct {
	Revision uint64
	All      []T // by service
}

// byService is a feed of objects of which there is one for each service.
type byService[T any] struct {
	Content[Listing[T]]
	about  About
	source sourceOf[T]
	listed objects[T] // by service
}

// sourceOf says how the objects of one kind are read and watched.
type sourceOf[T any] struct {
	read    func(ctx context.Context) ([]T, uint64, error)
	watch   func(ctx context.Context, since uint64, wait time.Duration) ([]Change[T], uint64, error)
	service func(T) string
}

func newByService[T any](o Options, about About, source sourceOf[T], take func(Listing[T]), changed func()) *byService[T] {
	b := &byService[T]{about: about, source: source, listed: newObjects(source.service)}
	b.init(kind[Listing[T]]{
		revision: func(l *Listing[T]) uint64 { return l.Revision },
		accept:   func(l *Listing[T]) { take(*l) },
		log: func(l *Listing[T], from string) {
			o.Log.Event(about.Name+"_listed").Uint64("revision", l.Revision).Str("from", from).Int("services", len(l.All)).Msg("")
		},
	}, changed)
	return b
}

// About returns what is particular to the kind.
func (b *byService[T]) About() About { return b.about }

// Read reads all objects.
func (b *byService[T]) Read(ctx context.Context) (uint64, error) {
	all, at, err := b.source.read(ctx)
	if err != nil {
		return 0, err
	}
	b.listed.reset(all)
	b.offerListed(at)
	return at, nil
}

// Watch waits for changed objects.
func (b *byService[T]) Watch(ctx context.Context, since uint64, wait time.Duration) (uint64, error) {
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

func (b *byService[T]) offerListed(at uint64) {
	b.Offer(&Listing[T]{Revision: at, All: b.listed.all()}, fromSource)
}
