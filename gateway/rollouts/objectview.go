package rollouts

import "github.com/croftvale/croftvale/gateway/feed"

// objectView merges the newest listing of one kind of object with newer objects that the
// store returned for this router's writes. A listing holds every change up to its revision,
// so it replaces all objects that are not newer.
type objectView[T any] struct {
	listing  feed.Listing[T]
	written  map[string]T
	service  func(T) string
	revision func(T) uint64
}

// applyListing replaces the listing by a newer one and returns all objects.
func (v *objectView[T]) applyListing(l feed.Listing[T]) []T {
	v.listing = l
	for service, object := range v.written {
		if v.revision(object) <= l.Revision {
			delete(v.written, service)
		}
	}
	return v.all()
}

// applyWrite applies an object that the store returned for a write, unless the view already has a
// newer one, and returns all objects.
func (v *objectView[T]) applyWrite(object T) []T {
	service := v.service(object)
	before, had := v.written[service]
	if v.revision(object) > v.listing.Revision && (!had || v.revision(object) > v.revision(before)) {
		if v.written == nil {
			v.written = make(map[string]T)
		}
		v.written[service] = object
	}
	return v.all()
}

// all returns the merged objects, at most one for each service.
func (v *objectView[T]) all() []T {
	out := make([]T, 0, len(v.listing.All)+len(v.written))
	for _, object := range v.listing.All {
		if _, newer := v.written[v.service(object)]; !newer {
			out = append(out, object)
		}
	}
	for _, object := range v.written {
		out = append(out, object)
	}
	return out
}
