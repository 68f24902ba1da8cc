package rollouts

import "github.com/croftvale/croftvale/gateway/feed"

// known is the objects of one kind: those of the newest listing, and over them the newer
// ones that the store's answers to this router's writes have shown. A listing holds every
// change up to its revision, so it replaces all objects that are not newer.
type objectView[T any] struct {
	listing  feed.Listing[T]
	written  map[string]T
	service  func(T) string
	revision func(T) uint64
}

// applyListing takes a newer listing, and returns all objects.
func (k *objectView[T]) applyListing(l feed.Listing[T]) []T {
	k.listing = l
	for service, object := range k.written {
		if k.revision(object) <= l.Revision {
			delete(k.written, service)
		}
	}
	return k.all()
}

// applyWrite takes one object as the store had it after a write, and returns all objects.
func (k *objectView[T]) applyWrite(object T) []T {
	service := k.service(object)
	before, had := k.written[service]
	if k.revision(object) > k.listing.Revision && (!had || k.revision(object) > k.revision(before)) {
		if k.written == nil {
			k.written = make(map[string]T)
		}
		k.written[service] = object
	}
	return k.all()
}

// all returns the objects; for each service there is one at most.
func (k *objectView[T]) all() []T {
	out := make([]T, 0, len(k.listing.All)+len(k.written))
	for _, object := range k.listing.All {
		if _, newer := k.written[k.service(object)]; !newer {
			out = append(out, object)
		}
	}
	for _, object := range k.written {
		out = append(out, object)
	}
	return out
}
