package main

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
)

// sample is the state of a router in the trial of a roll-out.
func sample() gateway.State {
	return gateway.State{
		Name: "edge-1", Config: 12, ConfigAge: 1234 * time.Millisecond, Servers: 40, Orders: 41, Versions: 42, Active: 7,
		Peers: []string{"10.0.0.2", "10.0.0.3"},
		Rollouts: []gateway.RolloutState{
			{
				Snapshot: rollout.Snapshot{
					Service: "llm", InUse: []string{"v1"}, Rejected: []string{"v0"}, Target: "v2", Part: 0.05,
					Age: 3040 * time.Millisecond, Within: 30 * time.Second, Leads: true, Routers: 3,
					Routes: []rollout.RouteEvidence{{Route: "chat", New: rollout.Tally{Good: 21, Bad: 2}, Old: rollout.Tally{Good: 400}}},
				},
				Stage: "trial", Verdict: "undecided", WaitsFor: "time",
			},
			{Snapshot: rollout.Snapshot{Service: "web", InUse: []string{"w1"}}, WaitsFor: "nothing"},
		},
		Engines: []direct.ServerState{
			{ID: "i-1", Service: "llm", Version: "v1", Zone: "a", Slots: 8, Running: 3, Pending: 900, Usable: true},
			{ID: "i-2", Service: "llm", Version: "v2", Zone: "a", Slots: 8, Barred: true},
			{ID: "i-3", Service: "llm", Version: "v0", Zone: "b", Slots: 8, Barred: true, Leaving: true},
			{ID: "i-4", Service: "web", Version: "w2", Zone: "b", Slots: 8, Barred: true},
			{ID: "i-5", Service: "web", Version: "w1", Zone: "b", Slots: 8, Usable: true, ColdFor: 2 * time.Second},
			{ID: "i-6", Service: "web", Version: "w1", Slots: 8},
			{ID: "i-7", Service: "web", Version: "w1", Slots: 8, BackoffFor: 3 * time.Second},
		},
		Shares:  direct.Shares{Level: 1000, Even: 900, Headroom: 1.5, Busy: 0.25, Most: []direct.TeamShare{{Team: "red", Offered: 1200, Served: 800}}},
		Traffic: map[string]traffic.Sum{"loads": {WithinHall: 10, BetweenHalls: 20, BetweenRegions: 30}, "heartbeats": {WithinHall: 3}},
	}
}

const sampleText = `router edge-1: 7 requests, 2 other routers, 0 log lines dropped
configuration 12 (in force for 1.2s), servers 40, evacuations 0, orders 41, versions 42
evacuated halls: -

versions
service  in use  rolled back
llm      v1      v0
web      w1      -

roll-outs
service  target  stage  part   age  of   verdict    stopped  routers  leads  waits for
llm      v2      trial  0.050  3s   30s  undecided  no       3        yes    time

answers during roll-outs
service  route  target good  bad  old good  bad
llm      chat   21           2    400       0

servers
server  service  version  hall  running  slots  pending tokens  new requests
i-1     llm      v1       a     3        8      900             yes
i-2     llm      v2       a     0        8      0               none: takes no part in this stage
i-3     llm      v0       b     0        8      0               none: draining, version rolled back
i-4     web      w2       b     0        8      0               none: version not ordered
i-5     web      w1       b     0        8      0               few: cold for 2s
i-6     web      w1       -     0        8      0               none: ejected
i-7     web      w1       -     0        8      0               none: asked to back off, 3s more

teams that ask for most, tokens/s (level 1000, even 900, headroom 1.5, busy 0.25)
team  asks for  gets
red   1200      800

bytes since the start
kind        within the hall  between halls  between regions
heartbeats  3                0              0
loads       10               20             30
`

// TestStateOfRouter prints a dump, as it comes from a router, in tables.
func TestStateOfRouter(t *testing.T) {
	dump, err := json.Marshal(sample())
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, writeState(&out, dump))
	require.Equal(t, sampleText, out.String())
}

// TestStateOfAgent prints the dumps of processes with a role as they are.
func TestStateOfAgent(t *testing.T) {
	var out strings.Builder
	require.NoError(t, writeState(&out, []byte(`{"name":"a-1","role":"agent","running":3}`)))
	require.Contains(t, out.String(), "role = 'agent'")
	require.Contains(t, out.String(), "running = 3.0")
}

// TestStopText says whether a roll-out's target is closed for a time or for good.
func TestStopText(t *testing.T) {
	r := gateway.RolloutState{Snapshot: rollout.Snapshot{Stopped: true}}
	require.Equal(t, "for a time", stopText(r))
	r.Rejecting, r.Cause = true, "evidence against the target"
	require.Equal(t, "for good: evidence against the target", stopText(r))
}

// TestStateOfServiceWithoutServersInUse shows that a service all of whose servers are of
// versions that nobody ordered stands among the roll-outs, though it has none.
func TestStateOfServiceWithoutServersInUse(t *testing.T) {
	state := gateway.State{Rollouts: []gateway.RolloutState{
		{Snapshot: rollout.Snapshot{Service: "web", WaitsFor: rollout.WaitOrder}, Stage: "waiting", Verdict: "undecided", WaitsFor: "order"},
		{Snapshot: rollout.Snapshot{Service: "llm"}, WaitsFor: "nothing"},
	}}
	rows := rolloutsTable(state).rows
	require.Len(t, rows, 1)
	require.Equal(t, "order", rows[0][len(rows[0])-1])
}
