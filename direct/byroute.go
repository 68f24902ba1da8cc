package direct

// byRoute holds a T for each route. The zero value is empty.
type byRoute[T any] map[string]*T

// get returns the value of a route and creates it if it is missing.
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
