package tomlfile

import (
	"bytes"
	"fmt"

	"github.com/cockroachdb/errors"
	toml "github.com/pelletier/go-toml/v2"
)

// File is a decoded file that still knows where each key stands, and gathers
// the problems that its reader finds.
type File struct {
	name     string
	lines    map[string]int
	problems Problems
}

// Decode reads data into v and refuses keys that v does not have. Where the
// text can't be decoded at all the error is a Problems.
func Decode(name string, data []byte, v any) (*File, error) {
	f := &File{name: name, lines: keyLines(data)}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		return f, nil
	}
	f.addDecodeError(err)
	return f, f.Err()
}

func (f *File) addDecodeError(err error) {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		for _, e := range missing.Errors {
			f.addPosition(&e, "no such key; remove it or correct its spelling")
		}
		return
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		f.addPosition(de, de.Error())
		return
	}
	f.problems = append(f.problems, Problem{File: f.name, Key: "(file)", Remedy: err.Error()})
}

func (f *File) addPosition(e *toml.DecodeError, remedy string) {
	line, _ := e.Position()
	key := joinKey(e.Key())
	if key == "" {
		key = "(text)"
	}
	f.problems = append(f.problems, Problem{File: f.name, Line: line, Key: key, Remedy: remedy})
}

// Add records a problem with the value of a key, such as "teams[2].share".
func (f *File) Add(key string, value any, remedy string) {
	f.problems = append(f.problems, Problem{
		File: f.name, Line: f.line(key), Key: key,
		Value: fmt.Sprintf("%v", value), Remedy: remedy,
	})
}

// Has tells whether the file gives the key.
func (f *File) Has(key string) bool {
	_, ok := f.lines[key]
	return ok
}

// Err returns the problems as an error, or nil if there are none.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	return f.problems
}

// line finds the line of a key, or of the nearest table around it.
func (f *File) line(key string) int {
	for key != "" {
		if n, ok := f.lines[key]; ok {
			return n
		}
		key = parentKey(key)
	}
	return 0
}
