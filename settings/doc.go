// Package settings reads the TOML settings of a croftvaled process: its name
// and hall, the addresses it listens on, the platform, and the operators it
// obeys. What the fleet shares lives in the bundle, not here.
//
//	s, err := settings.LoadRouter("router.toml")
package settings
