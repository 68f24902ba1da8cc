// Package objectapi is the client of the platform's object API: objects with
// versions, conditional updates and watches over HTTP, and the list of hosts.
//
//	c := objectapi.NewClient("10.0.0.9:7000")
//	obj, err := c.Get(ctx, objectapi.Ref{Kind: "bundle", Name: "current"})
//	_, err = c.Put(ctx, obj.Ref, body, obj.Version) // fails if someone was faster
//
// A write whose answer is lost may have taken effect: such an error is
// ErrOutcomeUnknown, and only reading back tells.
package objectapi
