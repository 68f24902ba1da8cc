// Command capacity measures the slopes behind docs/CAPACITY.md and works the
// page's figures out of them.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/standin/capacity"
)

type cli struct {
	Measure bool   `help:"Measure the slopes anew (some seconds), else read them."`
	Slopes  string `default:"docs/capacity.json" help:"File of the slopes."`
	Page    string `default:"docs/CAPACITY.md" help:"Page whose figures are replaced."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("capacity"))
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(c cli) error {
	s, err := slopes(c)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	text, ok := capacity.Replace(string(page), capacity.Page(s))
	if !ok {
		return errors.Newf("%s has lost the marks %s and %s", c.Page, capacity.PageBegin, capacity.PageEnd)
	}
	return errors.Wrap(os.WriteFile(c.Page, []byte(text), 0o644), "write page")
}

func slopes(c cli) (capacity.Slopes, error) {
	if c.Measure {
		s := capacity.Measure()
		out, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			return s, errors.Wrap(err, "spell slopes")
		}
		return s, errors.Wrap(os.WriteFile(c.Slopes, append(out, '\n'), 0o644), "write slopes")
	}
	var s capacity.Slopes
	data, err := os.ReadFile(c.Slopes)
	if err != nil {
		return s, errors.Wrap(err, "read slopes; measure them with --measure")
	}
	return s, errors.Wrap(json.Unmarshal(data, &s), "read slopes")
}
