package tomlfile

import (
	"fmt"
	"strings"
)

// Problem is one thing wrong with a file and what to do about it.
type Problem struct {
	File   string
	Line   int // 0 where the key is absent
	Key    string
	Value  string
	Remedy string
}

// String spells the problem in one line.
func (p Problem) String() string {
	where := p.File
	if p.Line > 0 {
		where = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Value == "" {
		return fmt.Sprintf("%s: %s: %s", where, p.Key, p.Remedy)
	}
	return fmt.Sprintf("%s: %s = %s: %s", where, p.Key, p.Value, p.Remedy)
}

// Problems is the error that names all that is wrong with a file.
type Problems []Problem

// Error lists the problems, a line each.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
