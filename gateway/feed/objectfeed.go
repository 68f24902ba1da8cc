package feed

import (
	"context"
	"time"
)

// Listing holds all objects of one kind at one revision of the source.
type Listing[T any] struct {
	Revision uint64
	All      []T // sorted by name
	// Lost are those of All that the source lost in a restore from a backup and has not listed since.
	Lost []T `msgpack:",omitempty"`
}

// objectFeed is a feed of objects of one kind, each with a unique name.
type objectFeed[T any] struct {
	Content[Listing[T]]
	spec     Spec
	source   objectSource[T]
	listed   objectSet[T]
	lost     *lostObjects[T]
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
	f := &objectFeed[T]{spec: spec, source: source, listed: newObjectSet(source.name), lost: newLostObjects(source.name)}
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
	f.lost.found(all)
	if f.lastRead.advance(revision, f.Revision()) {
		f.keepKnown(all)
	}
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
	for _, c := range changes {
		f.lost.found([]T{c.Object})
	}
	if len(changes) > 0 || f.lostHaveLapsed() {
		f.offerListed(revision)
	}
	return revision, nil
}

// keepKnown keeps the objects that were known before the source was restored from a backup.
func (f *objectFeed[T]) keepKnown(listed []T) {
	known := f.known().All
	if f.source.writtenAgain {
		f.lost.compare(known, listed, time.Now())
		return
	}
	f.listed.retain(known)
}

// lostHaveLapsed reports whether the current listing holds lost objects that nobody has written again in
// time.
func (f *objectFeed[T]) lostHaveLapsed() bool {
	return len(f.known().Lost) > 0 && len(f.lost.current(time.Now())) == 0
}

// ApplyPulled decodes and offers a listing of another router. That router may have started after a
// restore, and not know what the source lost.
func (f *objectFeed[T]) ApplyPulled(body []byte, from string) error {
	var pulled Listing[T]
	if err := decodePulled(body, &pulled); err != nil {
		return err
	}
	if pulled.Revision <= f.Revision() {
		return nil // of an earlier era, it says nothing of what was lost
	}
	now := time.Now()
	f.noteLost(pulled, now)
	pulled.Lost = f.lost.current(now)
	pulled.All = f.lost.merge(pulled.All, pulled.Lost)
	f.Offer(&pulled, from)
	return nil
}

// noteLost records which objects the source has lost, and which it has listed again, by a newer listing of
// another router.
func (f *objectFeed[T]) noteLost(pulled Listing[T], now time.Time) {
	if known := f.known(); f.source.writtenAgain && EraOf(known.Revision) < EraOf(pulled.Revision) {
		f.lost.compare(known.All, pulled.All, now)
	}
	f.lost.add(pulled.Lost, now)
	var listed []T
	for _, object := range pulled.All {
		if !f.lost.contains(pulled.Lost, object) {
			listed = append(listed, object)
		}
	}
	f.lost.found(listed)
}

func (f *objectFeed[T]) offerListed(revision uint64) {
	lost := f.lost.current(time.Now())
	all := f.lost.merge(f.listed.all(), lost)
	// An equal listing of a newer era is offered nevertheless. Other routers would otherwise keep
	// the old era in their revision and compare with that.
	newest := f.Newest()
	if newest == nil && len(all) == 0 && f.source.skipEmpty {
		return
	}
	if newest != nil && EraOf(newest.Revision) == EraOf(revision) && f.isEqual(newest.All, all) && f.isEqual(newest.Lost, lost) {
		return
	}
	f.Offer(&Listing[T]{Revision: revision, All: all, Lost: lost}, fromSource)
}

// isEqual reports whether two lists hold the same objects, as far as the feed can tell.
func (f *objectFeed[T]) isEqual(a, b []T) bool { return f.source.equal != nil && f.source.equal(a, b) }
