// Package caller sends requests to routers as teams do, and judges each answer:
// whole or not, the caller's own or not, and what it says of having run.
//
//	c := caller.New(caller.Team{Name: "zurich", Key: key})
//	a := c.Complete(ctx, url, caller.Work{Tokens: 20, Stream: true})
package caller
