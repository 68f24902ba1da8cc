package rollouts

import "github.com/croftvale/croftvale/gateway/feed"

// known is the objects of one kind: those of the newest listing, and over them the newer
// ones that the store's answers to this router's writes have shown. A listing holds every
// change up to its revision, so it replaces all objects that are not newer.
type known[T any] struct {
	listing  feed.Listing[T]
	written  map[string]T
	service  func(T) string
	revision func(T) uint64
}

// list takes a newer listing, and returns all objects.
func (k *known[T]) list(l feed.Listing[T]) []T {
	k.listing = l
	for service, one := range k.written {
		if k.revision(one) <= l.Revision {
			delete(k.written, service)
		}
	}
	return k.all()
}

// write takes one object as the store had it after a write, and returns all objects.
func (k *known[T]) write(one T) []T {
	service := k.service(one)
	before, had := k.written[service]
	if k.revision(one) > k.listing.Revision && (!had || k.revision(one) > k.revision(before)) {
		if k.written == nil {
			k.written = make(map[string]T)
		}
		k.written[service] = one
	}
	return k.all()
}

// all returns the objects; for each service there is one at most.
func (k *known[T]) all() []T {
	out := make([]T, 0, len(k.listing.All)+len(k.written))
	for _, one := range k.listing.All {
		if _, newer := k.written[k.service(one)]; !newer {
			out = append(out, one)
		}
	}
	for _, one := range k.written {
		out = append(out, one)
	}
	return out
}
