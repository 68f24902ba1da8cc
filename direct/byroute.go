package direct

// byRoute holds one T for each route. The zero value holds none.
type byRoute[T any] map[string]*T

// get returns what is held for a route; it begins as the zero value.
func (b *byRoute[T]) get(route string) *T {
	if *b == nil {
		*b = make(byRoute[T])
	}
	entry := (*b)[route]
	if entry == nil {
		entry = new(T)
		(*b)[route] = entry
	}
	return entry
}
