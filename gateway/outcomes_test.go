package gateway

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

// TestOutcomeCounts checks the counts of requests of each result, by team and by route.
func TestOutcomeCounts(t *testing.T) {
	route := &direct.Route{Name: "r", Objective: 300 * time.Millisecond}
	at := func(ms int) time.Duration { return time.Second + time.Duration(ms)*time.Millisecond }
	var counters outcomeCounters
	record := func(result string, age, first, end int) {
		x := &exchange{route: route, team: "red", start: time.Second, age: time.Duration(age) * time.Millisecond}
		if first > 0 {
			x.respondedAt = at(first)
		}
		counters.record(x, result, at(end))
	}
	record(resultServed, 0, 200, 2000) // in time, since its first event was
	record(resultServed, 0, 0, 200)
	record(resultServed, 0, 400, 2000)
	record(resultServed, 900, 100, 2000)
	record(resultRefused, 0, 0, 70)
	record(resultFailed, 900, 0, 130)
	record(resultCallerLeft, 0, 0, 500)
	teams, routes := counters.take()
	want := OutcomeCounts{FirstOnTime: 2, FirstLate: 1, RetriesServed: 1, FirstUnserved: 1, RetriesUnserved: 1, UnservedMS: 200}
	require.Equal(t, map[string]OutcomeCounts{"red": want}, teams)
	require.Equal(t, map[string]OutcomeCounts{"r": want}, routes)
	teams, _ = counters.take()
	require.Empty(t, teams, "counts are returned once")
}
