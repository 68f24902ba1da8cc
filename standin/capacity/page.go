package capacity

import (
	"fmt"
	"strings"
)

// Marks around the part of the page that is worked out.
const (
	PageBegin = "<!-- worked out: begin -->"
	PageEnd   = "<!-- worked out: end -->"
)

// Page returns the part of docs/CAPACITY.md that is worked out of the slopes.
func Page(s Slopes) string {
	var b strings.Builder
	b.WriteString(PageBegin + "\n\n")
	b.WriteString("| role | figure | today | two years | limit | carried by |\n|---|---|---:|---:|---:|---|\n")
	today := Project(s, Today)
	for i, r := range Project(s, TwoYears) {
		value := spell(r.Value, r.Unit)
		if r.Misses() {
			value = "**" + value + "**"
		}
		limit := ""
		if r.Limit > 0 {
			limit = spell(r.Limit, r.Unit)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", r.Role, r.What, spell(today[i].Value, r.Unit), value, limit, r.Mechanism)
	}
	b.WriteString("\n" + PageEnd)
	return b.String()
}

// spell writes a figure with three digits and its unit.
func spell(v float64, unit string) string {
	switch {
	case unit == "core":
		return fmt.Sprintf("%.3f%% of a core", 100*v)
	case unit == "B" && v >= 1<<20:
		return fmt.Sprintf("%.1f MiB", v/(1<<20))
	case v >= 1000:
		return strings.TrimSpace(fmt.Sprintf("%.0f %s", v, unit))
	}
	return strings.TrimSpace(fmt.Sprintf("%.3g %s", v, unit))
}

// Replace puts the worked-out part into a page, between its marks.
func Replace(page, part string) (string, bool) {
	head, rest, ok := strings.Cut(page, PageBegin)
	if !ok {
		return page, false
	}
	_, tail, ok := strings.Cut(rest, PageEnd)
	return head + part + tail, ok
}
