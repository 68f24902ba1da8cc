package feed

// Change is one change of an object in the source.
type Change[T any] struct {
	Object  T // if Deleted, only its identifying fields are guaranteed to be set
	Deleted bool
}
