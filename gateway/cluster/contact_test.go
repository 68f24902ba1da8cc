package cluster

import (
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/origin"
	"github.com/stretchr/testify/require"
)

// TestSilentMembersAreMissing guards against a router that takes the others for all members, though one of them
// has fallen silent.
func TestSilentMembersAreMissing(t *testing.T) {
	p := newTestPeers("a", &peer{address: "b"}, &peer{address: "c"})
	p.members = 3
	require.Equal(t, 0, p.contact().Missing)
	p.known["c"].live = false
	c := p.contact()
	require.Equal(t, 1, c.Missing)
	require.True(t, c.Majority)
	delete(p.known, "c")
	require.Equal(t, 1, p.contact().Missing, "while the store is away, the number of members does not fall")
	p.members = 2
	require.Equal(t, 0, p.contact().Missing)
	p.Add("d")
	require.Equal(t, 1, p.contact().Missing, "it has not been heard yet")
	require.Equal(t, 2, p.contact().Members)
}

// TestStartedRouterKnowsNoMembers guards against a router that has just started and takes those of which it has heard
// for all members.
func TestStartedRouterKnowsNoMembers(t *testing.T) {
	p := newTestPeers("a", &peer{address: "b"})
	require.False(t, p.contact().Starting)
	p.deps.StateMachine = newTestMachine()
	require.True(t, p.contact().Starting)
}

// TestEntriesNameStarts verifies that a start which was met is known by the ID that its entry will have.
func TestEntriesNameStarts(t *testing.T) {
	listed := direct.Server{ID: "n-0@5", Service: "llm", Version: "v2"}
	require.Equal(t, listed.ID, direct.UnlistedID(direct.UnlistedVersion(listed.Name(), 5)))
	m := origin.NewMachine(origin.Router{Address: "a"}, true)
	lookup := func(id uint64) []origin.Cmd {
		return m.Update(origin.LookupMsg{ID: id, Service: "llm", Contact: origin.Contact{Majority: true, Current: true, Members: 2, Missing: 1}})
	}
	m.Update(origin.UnlistedStartMsg{Service: "llm", Start: listed.ID})
	refused := origin.ResolvedCmd{ID: 1, Resolution: origin.Resolution{Evidence: origin.VersionUnlisted}}
	require.Equal(t, []origin.Cmd{origin.ReadStoredCmd{}, refused}, lookup(1))
	m.Update(origin.StoredMsg{Requested: true})
	m.Update(origin.ListedMsg{Services: listedVersions([]direct.Server{listed}), Servers: serverIDs([]direct.Server{listed})})
	want := origin.ResolvedCmd{ID: 2, Resolution: origin.Resolution{Certainty: origin.Inferred, Evidence: origin.SourceRead, Version: "v2"}}
	require.Equal(t, []origin.Cmd{origin.ReadStoredCmd{Servers: true}}, lookup(2), "as ever without answers")
	require.Equal(t, []origin.Cmd{want}, m.Update(origin.StoredMsg{Requested: true, ServersRead: true}))
}
