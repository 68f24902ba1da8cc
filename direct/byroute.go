package direct

// byRoute holds one T for each route. The zero value holds none.
type byRoute[T any] map[string]*T

// of returns what is held for a route; it begins as the zero value.
func (b *byRoute[T]) of(route string) *T {
	if *b == nil {
		*b = make(byRoute[T])
	}
	one := (*b)[route]
	if one == nil {
		one = new(T)
		(*b)[route] = one
	}
	return one
}
