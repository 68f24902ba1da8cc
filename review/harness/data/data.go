//go:build review

// Package data holds what the platform names: headers, settings and configuration.
package data

import _ "embed"

//go:embed names.json
var Names []byte

//go:embed settings.toml
var Settings string

//go:embed config.json
var Config []byte
