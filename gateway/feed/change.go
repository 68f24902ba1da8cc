package feed

// Change is one change of the objects of one kind in their source.
type Change[T any] struct {
	Object  T // where it is gone, only what names it is sure to be there
	Deleted bool
}
