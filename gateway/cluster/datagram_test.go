package cluster

import (
	"testing"

	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
)

// TestDatagrams checks that messages between routers survive encoding and decoding, and that a
// server takes at most 12 bytes of a list. For teams see TestTeamsAreSmall.
func TestDatagrams(t *testing.T) {
	sent := heartbeat{
		Address: "10.1.0.33", Hall: "a", Region: "north", Power: 0.3, Shed: 0.25, Yields: true, SourceLost: true, Life: 1 << 60, Seq: 7, Knows: feed.Revisions{3, 9, 11},
		Headroom: 1.5,
		Members:  []string{"10.2.0.1"},
		Suspects: []quarantine.Report{{Content: 1 << 60, Crashes: []quarantine.CrashReport{{Server: 1 << 31, Age: 40}}, Cleared: true, ClearAge: 90, Asked: true, AskAge: 7}}, SuspectsDigest: 1 << 60,
	}
	body, err := encode(sent)
	require.NoError(t, err)
	var received heartbeat
	require.NoError(t, decode(body, &received))
	require.Equal(t, sent, received)

	list := loadList{From: "10.1.0.33", Kind: loads.Report, Number: 1 << 60, Base: 1 << 60, Hall: "a", Region: "north", HasTeams: true, Copies: []loads.Copy{{Part: 1 << 60, Server: 7}}, Teams: packTeams([]loads.TeamUse{{Team: "red", Offered: 1e5, Recent: 2e5, Served: 3e4}})}
	empty, err := encode(list)
	require.NoError(t, err)
	for i := range 100 {
		list.Loads = append(list.Loads, loads.Load{Server: 1 << 31, Running: int32(i), Pending: 60000})
	}
	body, err = encode(list)
	require.NoError(t, err)
	require.Less(t, len(body)-len(empty), 12*100+3)
	var receivedList loadList
	require.NoError(t, decode(body, &receivedList))
	require.Equal(t, list, receivedList)
	require.Error(t, decode([]byte("no message"), &receivedList))
}
