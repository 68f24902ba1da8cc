package feed

import (
	"maps"
	"slices"
)

// objects are those of one kind as the source alone tells them.
type objectSet[T any] struct {
	name   func(T) string
	byName map[string]T // by name
}

func newObjectSet[T any](name func(T) string) objectSet[T] {
	return objectSet[T]{name: name, byName: make(map[string]T)}
}

// reset begins anew with all objects that there are.
func (o *objectSet[T]) reset(all []T) {
	clear(o.byName)
	for _, object := range all {
		o.byName[o.name(object)] = object
	}
}

// keep holds on to what was known before the source came back from a copy. What the copy lacks or has
// an earlier state of was lost and not taken back: it stays until the source tells of a change, since
// whoever wrote it writes it again.
func (o *objectSet[T]) retain(previous []T) {
	for _, object := range previous {
		o.byName[o.name(object)] = object
	}
}

// apply takes changes in.
func (o *objectSet[T]) apply(changes []Change[T]) {
	for _, c := range changes {
		if c.Deleted {
			delete(o.byName, o.name(c.Object))
		} else {
			o.byName[o.name(c.Object)] = c.Object
		}
	}
}

// all returns the objects by name.
func (o *objectSet[T]) all() []T {
	var out []T
	for _, name := range slices.Sorted(maps.Keys(o.byName)) {
		out = append(out, o.byName[name])
	}
	return out
}
