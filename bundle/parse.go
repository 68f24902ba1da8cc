package bundle

import (
	"fmt"

	"github.com/croftvale/croftvale/tomlfile"
)

// Parse decodes and checks the TOML source of a bundle. The error lists every
// problem with file, line, key and remedy.
func Parse(file string, source []byte) (Bundle, error) {
	var b Bundle
	f, err := tomlfile.Decode(file, source, &b)
	if err != nil {
		return Bundle{}, err
	}
	check(f, b)
	if err := f.Err(); err != nil {
		return Bundle{}, err
	}
	return b, nil
}

// entryKey returns the key of a field of a list entry, such as "teams[0].name".
func entryKey(list string, i int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}
