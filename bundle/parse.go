package bundle

import (
	"fmt"

	"github.com/croftvale/croftvale/tomlfile"
)

// Parse reads a bundle source and checks it. The error names every fault
// with file, line, key and remedy.
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

// entryKey spells the key of one field of a list's entry.
func entryKey(list string, i int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}
