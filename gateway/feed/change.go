package feed

// Change is one change of an object in the source.
type Change[T any] struct {
	Object  T // if Deleted, only the identifying fields are set for certain
	Deleted bool
}
