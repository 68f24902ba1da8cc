package bundle

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Change is one difference between two bundles.
type Change struct {
	Entry  string // such as `team "zurich"` or "policy"
	Before string // JSON; empty if the entry is added
	After  string // JSON; empty if the entry is removed
}

// String formats the change as one line that starts with + (added), - (removed)
// or ~ (changed).
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s %s", c.Entry, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s %s", c.Entry, c.Before)
	}
	return fmt.Sprintf("~ %s %s -> %s", c.Entry, c.Before, c.After)
}

// Diff returns the differences between two bundles, sorted by entry.
func Diff(old, new Bundle) []Change {
	before, after := encodeEntries(old), encodeEntries(new)
	names := map[string]bool{}
	for k := range before {
		names[k] = true
	}
	for k := range after {
		names[k] = true
	}
	var out []Change
	for k := range names {
		if before[k] != after[k] {
			out = append(out, Change{Entry: k, Before: before[k], After: after[k]})
		}
	}
	slices.SortFunc(out, func(a, b Change) int {
		if a.Entry < b.Entry {
			return -1
		}
		return 1
	})
	return out
}

// encodeEntries returns the JSON of each entry of a bundle, by entry name.
func encodeEntries(b Bundle) map[string]string {
	out := map[string]string{
		"policy": encodeJSON(b.Policy),
		"limits": encodeJSON(b.Limits),
	}
	for _, t := range b.Teams {
		out[fmt.Sprintf("team %q", t.Name)] = encodeJSON(t)
	}
	for _, w := range b.Works {
		out[fmt.Sprintf("work %q", w.Name)] = encodeJSON(w)
	}
	for _, s := range b.Servers {
		out[fmt.Sprintf("server %q", s.Name)] = encodeJSON(s)
	}
	return out
}

func encodeJSON(v any) string {
	out, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: plain structs always encode
	}
	return string(out)
}
