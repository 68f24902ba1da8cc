// Package backend manages a router's connections to backend servers. It reports for
// each attempt whether any byte of the request was sent, and returns a response only
// if it belongs to that request.
//
//	p := backend.NewPool(backend.Options{DialTimeout: 300 * time.Millisecond})
//	c, err := p.Get(ctx, "10.0.0.7:8000")
//	err = c.Send(request)
//	response, err := c.ReadResponse(method, matches)
//	c.Release()
package backend
