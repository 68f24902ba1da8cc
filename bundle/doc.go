// Package bundle is the configuration of the fleet: teams with their shares,
// works with their routes, backend servers, limits and policy. Operators
// write it in TOML; it is checked, made canonical, signed off and put in
// force by a signed order that names its digest and generation:
//
//	b, err := bundle.Parse("fleet.toml", source)
//	digest, content := bundle.Pack(b)
//	signoff := bundle.SignOff(key, digest)
//
// Everything here is pure: files, the platform and clocks are the callers'.
package bundle
