// Package bundle defines the configuration of the fleet: teams with their shares,
// works with their routes, backend servers, limits and policy. Operators write a
// bundle in TOML. It is checked, converted to canonical form and signed off. A
// signed order that names its digest and generation then makes it active:
//
//	b, err := bundle.Parse("fleet.toml", source)
//	digest, content := bundle.Pack(b)
//	signoff := bundle.SignOff("anna", key, digest)
//
// The package has no side effects: callers handle files, the platform and clocks.
package bundle
