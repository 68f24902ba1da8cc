// Package objectapi is an HTTP client for the platform's object API: versioned
// objects with conditional writes and watches, and the list of hosts.
//
//	c := objectapi.NewClient("10.0.0.9:7000")
//	obj, err := c.Get(ctx, objectapi.Ref{Kind: "bundle", Name: "current"})
//	_, err = c.Put(ctx, obj.Ref, body, obj.Version) // fails if the object has changed since
//
// A write whose response is lost may have taken effect. Its error is
// ErrOutcomeUnknown, and the caller must read the object back to find out.
package objectapi
