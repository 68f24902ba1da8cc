package rollouts

import "github.com/croftvale/croftvale/gateway/feed"

// known is the objects of a kind as the newest listing has them, together with those that
// this router has written, or was told of by a conflict, since. A listing holds every
// change up to its revision, so that one replaces all objects that are no newer.
type known[T any] struct {
	listing feed.Listing[T]
	written map[string]T
	service func(T) string
	version func(T) uint64
}

// list takes a newer listing, and returns all objects.
func (k *known[T]) list(l feed.Listing[T]) []T {
	k.listing = l
	for service, one := range k.written {
		if k.version(one) <= l.Revision {
			delete(k.written, service)
		}
	}
	return k.all()
}

// write takes one object as the store had it after a write, and returns all objects.
func (k *known[T]) write(one T) []T {
	service := k.service(one)
	before, had := k.written[service]
	if k.version(one) > k.listing.Revision && (!had || k.version(one) > k.version(before)) {
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
