package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/operate"
)

// errLags means that a process has an older bundle in force.
var errLags = errors.New("some processes lag; look at their logs and links, or ask again in a few seconds")

// gather asks one process for itself and, if it is a router, its peers.
func gather(address string, found map[string]operate.Summary) error {
	dump, err := operate.FetchState(context.Background(), address)
	if err != nil {
		return err
	}
	s, err := operate.Summarize(dump)
	if err != nil {
		return err
	}
	found[string(s.Name)] = s
	for _, p := range s.Peers {
		old, ok := found[string(p.Name)]
		if ok && old.Generation >= p.Generation {
			continue
		}
		found[string(p.Name)] = operate.Summary{Name: p.Name, Role: p.Role, Hall: p.Hall, Generation: p.Generation}
	}
	return nil
}

func printStatus(want fleet.Generation, found map[string]operate.Summary) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	lags := false
	for _, name := range slices.Sorted(maps.Keys(found)) {
		s := found[name]
		note := ""
		if s.Generation < want {
			note, lags = "lags", true
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\thall %s\tgeneration %d\t%s\n", s.Name, s.Role, s.Hall, s.Generation, note)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print status")
	}
	if lags {
		return errLags
	}
	return nil
}
