package feed

import (
	"maps"
	"slices"
	"time"
)

// awaitedTTL is how long objects that a restored source lacks stay listed until their writer writes them
// again. It covers the loss of the writer in the meantime.
const awaitedTTL = 30 * time.Second

// objectSet holds the objects of one kind as read from the source.
type objectSet[T any] struct {
	name   func(T) string
	byName map[string]T
	// awaited holds the objects that the restored source lacks and that are to be written again. They
	// stay listed until awaitedUntil, also if the source is read again.
	awaited      map[string]T
	awaitedUntil time.Time
}

func newObjectSet[T any](name func(T) string) objectSet[T] {
	return objectSet[T]{name: name, byName: make(map[string]T), awaited: make(map[string]T)}
}

// reset replaces the contents of the set by what was read, and by what is still awaited.
func (o *objectSet[T]) reset(all []T) {
	clear(o.byName)
	for _, object := range all {
		o.byName[o.name(object)] = object
		delete(o.awaited, o.name(object))
	}
	maps.Copy(o.byName, o.awaited)
}

// await records which of the objects that were current before the source was restored from a backup it
// lacks.
func (o *objectSet[T]) await(previous []T, now time.Time) {
	for _, object := range previous {
		if _, listed := o.byName[o.name(object)]; !listed {
			o.awaited[o.name(object)] = object
			o.awaitedUntil = now.Add(awaitedTTL)
		}
	}
}

// dropAwaited removes the objects that nobody has written again in time, and reports whether there are
// any.
func (o *objectSet[T]) dropAwaited(now time.Time) bool {
	if len(o.awaited) == 0 || now.Before(o.awaitedUntil) {
		return false
	}
	for name := range o.awaited {
		delete(o.byName, name)
	}
	clear(o.awaited)
	return true
}

// retain puts back the objects that were current before the source was restored from a backup. Objects
// that are missing or older in the backup were lost, not deleted or reverted on purpose. They stay until
// the source reports a change of them or is read again, because their writers write them again.
func (o *objectSet[T]) retain(previous []T) {
	for _, object := range previous {
		o.byName[o.name(object)] = object
	}
}

// apply applies changes from the source.
func (o *objectSet[T]) apply(changes []Change[T]) {
	for _, c := range changes {
		delete(o.awaited, o.name(c.Object))
		if c.Deleted {
			delete(o.byName, o.name(c.Object))
		} else {
			o.byName[o.name(c.Object)] = c.Object
		}
	}
}

// all returns the objects sorted by name.
func (o *objectSet[T]) all() []T {
	var out []T
	for _, name := range slices.Sorted(maps.Keys(o.byName)) {
		out = append(out, o.byName[name])
	}
	return out
}
