package feed

import (
	"maps"
	"slices"
)

// objects are those of one kind as the source alone tells them.
type objects[T any] struct {
	name  func(T) string
	known map[string]T // by name
}

func newObjects[T any](name func(T) string) objects[T] {
	return objects[T]{name: name, known: make(map[string]T)}
}

// reset begins anew with all objects that there are.
func (o *objects[T]) reset(all []T) {
	clear(o.known)
	for _, one := range all {
		o.known[o.name(one)] = one
	}
}

// keep holds on to what was known before the source came back from a copy. What the copy lacks or has
// an earlier state of was lost and not taken back: it stays until the source tells of a change, since
// whoever wrote it writes it again.
func (o *objects[T]) keep(known []T) {
	for _, one := range known {
		o.known[o.name(one)] = one
	}
}

// apply takes changes in.
func (o *objects[T]) apply(changes []Change[T]) {
	for _, c := range changes {
		if c.Deleted {
			delete(o.known, o.name(c.Object))
		} else {
			o.known[o.name(c.Object)] = c.Object
		}
	}
}

// all returns the objects by name.
func (o *objects[T]) all() []T {
	var out []T
	for _, name := range slices.Sorted(maps.Keys(o.known)) {
		out = append(out, o.known[name])
	}
	return out
}
