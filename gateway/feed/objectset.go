package feed

import (
	"maps"
	"slices"
)

// objectSet holds the objects of one kind as read from the source.
type objectSet[T any] struct {
	name   func(T) string
	byName map[string]T
}

func newObjectSet[T any](name func(T) string) objectSet[T] {
	return objectSet[T]{name: name, byName: make(map[string]T)}
}

// reset replaces the contents of the set.
func (o *objectSet[T]) reset(all []T) {
	clear(o.byName)
	for _, object := range all {
		o.byName[o.name(object)] = object
	}
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
