package feed

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// lostTTL is how long objects that a restored source lacks stay listed until a router writes them
// again. It covers the loss of that router in the meantime.
const lostTTL = 30 * time.Second

// lostObjects holds the objects that the source lost in a restore from a backup and that a router is to
// write again. They stay listed until the source has listed them in this era, since their absence does
// not mean that anybody deleted them.
type lostObjects[T any] struct {
	name   func(T) string
	mu     sync.Mutex
	byName map[string]T
	until  time.Time
}

func newLostObjects[T any](name func(T) string) *lostObjects[T] {
	return &lostObjects[T]{name: name, byName: make(map[string]T)}
}

// compare records which of the objects that were known before a restore are missing in a listing that
// was made after it.
func (l *lostObjects[T]) compare(known, listed []T, now time.Time) {
	var missing []T
	for _, object := range known {
		if !l.contains(listed, object) {
			missing = append(missing, object)
		}
	}
	l.add(missing, now)
}

// add records lost objects.
func (l *lostObjects[T]) add(objects []T, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, object := range objects {
		if _, known := l.byName[l.name(object)]; !known {
			l.byName[l.name(object)] = object
			l.until = now.Add(lostTTL)
		}
	}
}

// found removes objects that the source has listed, or reported as changed, in this era.
func (l *lostObjects[T]) found(objects []T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, object := range objects {
		delete(l.byName, l.name(object))
	}
}

// current returns the objects that are still lost, sorted by name.
func (l *lostObjects[T]) current(now time.Time) []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.until) {
		clear(l.byName)
	}
	var out []T
	for _, object := range l.byName {
		out = append(out, object)
	}
	l.sort(out)
	return out
}

// merge returns the listed objects and the lost ones that are not among them, sorted by name.
func (l *lostObjects[T]) merge(listed, lost []T) []T {
	out := slices.Clone(listed)
	for _, object := range lost {
		if !l.contains(listed, object) {
			out = append(out, object)
		}
	}
	l.sort(out)
	return out
}

func (l *lostObjects[T]) contains(objects []T, object T) bool {
	return slices.ContainsFunc(objects, func(other T) bool { return l.name(other) == l.name(object) })
}

func (l *lostObjects[T]) sort(objects []T) {
	slices.SortFunc(objects, func(a, b T) int { return strings.Compare(l.name(a), l.name(b)) })
}
