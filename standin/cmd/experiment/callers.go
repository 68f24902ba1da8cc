package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/croftvale/croftvale/gateway"
)

// callers is what callers got in a play, as the routers' logs tell it, by team and by
// route.
type callers struct {
	Teams  map[string]gateway.OutcomeCounts `json:"teams"`
	Routes map[string]gateway.OutcomeCounts `json:"routes"`
}

// add adds up what one line of a log tells.
func (c *callers) add(line gateway.OutcomeCountsLine) {
	if c.Teams == nil {
		c.Teams, c.Routes = make(map[string]gateway.OutcomeCounts), make(map[string]gateway.OutcomeCounts)
	}
	addAccounts(c.Teams, line.Teams)
	addAccounts(c.Routes, line.Routes)
}

func addAccounts(sums, counted map[string]gateway.OutcomeCounts) {
	for name, one := range counted {
		sum := sums[name]
		sum.Add(one)
		sums[name] = sum
	}
}

// all adds up all teams.
func (c *callers) all() gateway.OutcomeCounts {
	var sum gateway.OutcomeCounts
	for _, one := range c.Teams {
		sum.Add(one)
	}
	return sum
}

// output takes what the bench prints: it adds up the routers' accounts and keeps what is
// no log line.
type output struct {
	text    bytes.Buffer
	callers callers
	part    []byte // of a line that has not ended
}

// logMark is in every log line of a router, and in nothing that the bench says itself.
const logMark = "\"process\":"

// Write takes a piece of the output.
func (o *output) Write(p []byte) (int, error) {
	o.part = append(o.part, p...)
	for {
		line, rest, whole := bytes.Cut(o.part, []byte("\n"))
		if !whole {
			return len(p), nil
		}
		o.take(line)
		o.part = rest
	}
}

func (o *output) take(line []byte) {
	if !bytes.Contains(line, []byte(logMark)) {
		o.text.Write(line)
		o.text.WriteByte('\n')
		return
	}
	if !bytes.Contains(line, []byte(gateway.OutcomeCountsEvent)) {
		return
	}
	var said gateway.OutcomeCountsLine
	begin := bytes.IndexByte(line, '{')
	if json.Unmarshal(line[begin:], &said) == nil && said.Event == gateway.OutcomeCountsEvent {
		o.callers.add(said)
	}
}

// mostShown is how many teams and routes are listed: those with the most first tries that
// were not served in time.
const mostShown = 4

// callersText tells what callers got in one line, means of several plays.
func callersText(c callers, plays float64) string {
	out := []string{accountText("all", c.all(), plays)}
	for _, name := range worst(c.Routes) {
		out = append(out, accountText("route "+name, c.Routes[name], plays))
	}
	for _, name := range worst(c.Teams) {
		out = append(out, accountText("team "+name, c.Teams[name], plays))
	}
	return strings.Join(out, "; ")
}

// worst returns the names of those with the most first tries not served in time.
func worst(all map[string]gateway.OutcomeCounts) []string {
	missed := func(name string) int64 { return all[name].FirstLate + all[name].FirstUnserved }
	names := slices.SortedFunc(maps.Keys(all), func(a, b string) int {
		return cmp.Or(cmp.Compare(missed(b), missed(a)), cmp.Compare(a, b))
	})
	return names[:min(mostShown, len(names))]
}

func accountText(name string, a gateway.OutcomeCounts, plays float64) string {
	per := func(n int64) float64 { return float64(n) / plays }
	return fmt.Sprintf("%s: first tries in time %.0f, late %.0f, unserved %.0f; later tries served %.0f, in vain %.0f; held in vain %.0f s",
		name, per(a.FirstOnTime), per(a.FirstLate), per(a.FirstUnserved), per(a.RetriesServed), per(a.RetriesUnserved), per(a.UnservedMS)/1000)
}
