package process

import "context"

// Dump asks the goroutine behind events for its state. ask makes the event that
// has the state sent to a channel, which has room for it.
func Dump[E, S any](ctx context.Context, events chan<- E, ask func(chan<- S) E) (S, error) {
	var none S
	reply := make(chan S, 1)
	select {
	case events <- ask(reply):
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
