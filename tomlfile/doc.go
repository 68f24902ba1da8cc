// Package tomlfile reads a TOML file strictly and reports everything that is
// wrong with it at once, each with file, line, key and remedy. Settings and
// bundle sources are read through it:
//
//	f, err := tomlfile.Decode("router.toml", data, &s)
//	f.Add("listen.http", "0.0.0.0", "give an IP number and a port, as 10.0.0.1:8080")
//	return f.Err()
package tomlfile
