package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

// TestStoppingTakesWhatEnds guards against a router that ends and loses requests that will not end before it, or
// refuses those that will.
func TestStoppingTakesWhatEnds(t *testing.T) {
	const acceptUntil, endsAt = 2500 * time.Millisecond, 7500 * time.Millisecond
	once := direct.Route{Name: "once", Kind: direct.AtMostOnce}
	safe := direct.Route{Name: "safe", Kind: direct.Repeatable}
	resumable := direct.Route{Name: "stream", Kind: direct.Stream, Resumable: true}
	single := direct.Route{Name: "single", Kind: direct.Stream}
	unknown := direct.Route{Name: "unknown", Kind: direct.AtMostOnce}
	unknownStream := direct.Route{Name: "unknown", Kind: direct.Stream, Resumable: true}
	for name, c := range map[string]struct {
		route          direct.Route
		readAt, sentAt time.Duration
		taken          bool
	}{
		"at most once, in time":         {once, 0, time.Second, true},
		"at most once, may not end":     {once, 0, 5 * time.Second, false},
		"repeatable, may not end":       {safe, 0, 5 * time.Second, true},
		"repeatable, hardly ends":       {safe, 0, 6 * time.Second, false},
		"repeatable, late":              {safe, 3 * time.Second, 3 * time.Second, true},
		"repeatable, late, may not end": {safe, 5 * time.Second, 5 * time.Second, false},
		"stream":                        {resumable, 0, 2 * time.Second, true},
		"stream, late":                  {resumable, 3 * time.Second, 3 * time.Second, false},
		"stream, sent late, ends":       {resumable, 0, 3 * time.Second, true},
		"stream, sent late":             {resumable, 0, 5 * time.Second, false},
		"single stream, may not end":    {single, 0, 5 * time.Second, false},
		"unknown":                       {unknown, 0, 7 * time.Second, true},
		"unknown, late":                 {unknown, 3 * time.Second, 3 * time.Second, false},
		"unknown stream, sent late":     {unknownStream, 0, 3 * time.Second, false},
		"at the end":                    {unknown, 0, endsAt, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s stopping
			for _, route := range []direct.Route{once, safe, resumable, single} {
				for range 50 { // 2 s typically, and hardly ever longer than 3.6 s
					s.observe(route.Name, 1600*time.Millisecond, 0, true)
					s.observe(route.Name, 2400*time.Millisecond, 0, true)
				}
			}
			x := &exchange{ctx: context.Background(), route: &c.route, start: c.readAt}
			require.False(t, s.isTooLate(c.sentAt, x), "the router does not end")
			s.begin(acceptUntil, endsAt)
			require.Equal(t, c.taken, !s.isTooLate(c.sentAt, x))
		})
	}
}

// TestStoppingStopsWhatWaits guards against requests that wait until the router ends, though another one would
// serve them, and against those at a server that are stopped too early.
func TestStoppingStopsWhatWaits(t *testing.T) {
	route := &direct.Route{Name: "once", Kind: direct.AtMostOnce}
	var s stopping
	s.observe(route.Name, time.Second, 0, true)
	waiting := &exchange{ctx: context.Background(), route: route}
	running := &exchange{ctx: context.Background(), route: route}
	s.add(waiting)
	s.add(running)
	running.busy.Store(true)
	s.begin(2*time.Second, 7*time.Second)
	s.stopLate(5*time.Second, 7*time.Second)
	require.False(t, waiting.hasStopped())
	s.stopLate(6500*time.Millisecond, 7*time.Second)
	require.True(t, waiting.hasStopped())
	require.False(t, running.hasStopped())
	s.stopLate(7*time.Second, 7*time.Second)
	require.True(t, running.hasStopped())
	late := &exchange{ctx: context.Background(), route: route, start: 7 * time.Second}
	s.add(late)
	require.True(t, late.hasStopped())
}

// TestStallOfRouterStopsNothing guards against requests that are refused though they fit, as this process stalled
// while others of their route were at servers.
func TestStallOfRouterStopsNothing(t *testing.T) {
	const usual, stall = 300 * time.Millisecond, 450 * time.Millisecond
	route := &direct.Route{Name: "once", Kind: direct.AtMostOnce}
	var s stopping
	for range 50 {
		s.observe(route.Name, usual, 0, true)
	}
	waiting := &exchange{ctx: context.Background(), route: route}
	s.add(waiting)
	const endsAt = 7 * time.Second
	s.begin(2*time.Second, endsAt)
	for sentBefore := range 5 {
		s.observe(route.Name, usual+stall-time.Duration(sentBefore)*60*time.Millisecond, stall, true)
	}
	s.stopLate(endsAt-2*usual, endsAt)
	require.False(t, waiting.hasStopped())
	s.observe(route.Name, usual+stall, 0, true)
	s.stopLate(endsAt-2*usual, endsAt)
	require.True(t, waiting.hasStopped(), "the server was as late")
}
