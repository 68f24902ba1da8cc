// Package backend holds a router's connections to backend servers. It says of
// each attempt whether any byte of the request has left, and hands out an answer
// only where it is the answer to that very request.
//
//	p := backend.NewPool(backend.Options{DialTimeout: 300 * time.Millisecond})
//	c, err := p.Get(ctx, "10.0.0.7:8000")
//	err = c.Send(request)
//	answer, err := c.Answer(method, isMine)
//	c.Release()
package backend
