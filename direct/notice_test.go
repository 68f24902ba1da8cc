package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// noticeBench is a bench with plain servers, whose lists it counts.
type noticeBench struct {
	*harness
	revision uint64
}

// newNoticeBench returns a bench with some servers.
func newNoticeBench(t *testing.T, ids ...string) *noticeBench {
	b := &noticeBench{harness: newHarness(t, 0), revision: 1}
	b.list(ids...)
	return b
}

// list puts a list of plain servers in force, all of them ready.
func (b *noticeBench) list(ids ...string) {
	var all []Server
	for _, id := range ids {
		all = append(all, plainServer(id))
	}
	b.listAs(all...)
}

// listAs puts a list of servers in force.
func (b *noticeBench) listAs(all ...Server) []Cmd {
	b.revision++
	return append([]Cmd(nil), b.m.Update(ServersMsg{Now: b.now, Directory: Directory{Revision: b.revision, Servers: all}})...)
}

func plainServer(id string) Server {
	return Server{ID: id, Service: "app", Zone: "a", Address: "10.0.0.1:" + id[1:], Slots: 4}
}

// plain returns a request that may be repeated, of the service with plain servers.
func (b *noticeBench) plainRequest() Request {
	b.lastID++
	return Request{
		ID: b.lastID, Team: "red", Route: "r", Service: "app", Kind: Repeatable, MayRepeat: true, Attempts: 2,
		Objective: 300 * time.Millisecond, Deadline: b.now + 3*time.Second,
	}
}

func (b *noticeBench) notice(server string, n Notice) []Cmd {
	return append([]Cmd(nil), b.m.Update(NoticeMsg{Now: b.now, Server: server, Notice: n})...)
}

// chosen sends some requests at once and returns how many each server got; "" counts those
// that were refused or wait.
func (b *noticeBench) distribute(n int) map[string]int {
	got := make(map[string]int)
	var sent, waiting []RequestID
	for range n {
		r := b.plainRequest()
		cmds := b.arrive(r)
		if c, ok := findCmd[SendCmd](cmds); ok {
			got[c.Server.ID]++
			sent = append(sent, r.ID)
			continue
		}
		got[""]++
		if _, refused := findCmd[RefuseCmd](cmds); !refused {
			waiting = append(waiting, r.ID)
		}
	}
	for _, id := range sent {
		b.end(id, Done, false)
	}
	for _, id := range waiting {
		b.m.Update(CancelMsg{Now: b.now, ID: id})
	}
	return got
}

// staysOut has the entry of p1 go and come back, soon and after a time in which the router has
// forgotten the server: p1 gets nothing all the same.
func (b *noticeBench) requireExcluded(longAbsence time.Duration) {
	b.t.Helper()
	for _, away := range []time.Duration{goneRetention / 2, longAbsence} {
		b.list("p0", "p2")
		b.advance(away)
		b.list("p0", "p1", "p2")
		require.Zero(b.t, b.distribute(9)["p1"], "its entry came back after %s", away)
	}
}

// TestLeavingOutlastsEntries has a server say that it leaves while its entry says otherwise: the
// list may be from before, and its entry may lapse and come back. Only another life ends it.
func TestLeavingOutlastsEntries(t *testing.T) {
	b := newNoticeBench(t, "p0", "p1", "p2")
	require.Positive(t, b.distribute(9)["p1"])
	_, emitted := findCmd[ServerStatusCmd](b.notice("p1", Notice{Leaving: true}))
	require.True(t, emitted, "the log tells of it")
	require.Empty(t, b.notice("p1", Notice{Leaving: true}), "it is told once")
	require.Zero(t, b.distribute(9)["p1"])

	b.list("p0", "p1", "p2")
	require.Zero(t, b.distribute(9)["p1"], "an entry that says ready came later")

	b.requireExcluded(2 * goneRetention)

	b.list("p0", "p3", "p2")
	require.Positive(t, b.distribute(9)["p3"], "its next life")
}

// TestLeavingIsNoLastResortLater has both servers of a service say that they leave. They serve
// as a last resort right after that, but not later, whatever becomes of their entries.
func TestLeavingIsNoLastResortLater(t *testing.T) {
	for name, after := range map[string]func(b *noticeBench){
		"entries stay":      func(*noticeBench) {},
		"entries drain":     func(b *noticeBench) { b.listAs(drainingServer("p0"), drainingServer("p1")) },
		"entries lapse":     func(b *noticeBench) { b.list() },
		"entries came back": func(b *noticeBench) { b.list(); b.advance(2 * goneRetention); b.list("p0", "p1") },
	} {
		b := newNoticeBench(t, "p0", "p1")
		b.notice("p0", Notice{Leaving: true})
		b.notice("p1", Notice{Leaving: true})
		require.Zero(t, b.distribute(2)[""], name)
		b.advance(maxLastResortTime + TickInterval)
		after(b)
		require.Equal(t, map[string]int{"": 2}, b.distribute(2), name)
		b.advance(maxLapseGrace)
		require.Equal(t, map[string]int{"": 2}, b.distribute(2), name)
	}
}

func drainingServer(id string) Server {
	s := plainServer(id)
	s.Draining = true
	return s
}

// TestBackoff has a server turn a request away and ask the router to back off: it gets nothing until the end of
// that time, also if its entry lapses meanwhile, if it answers others, or asks for less.
func TestBackoff(t *testing.T) {
	const backoff = 30 * time.Second
	b := newNoticeBench(t, "p0", "p1", "p2")
	cmd, _ := findCmd[ServerStatusCmd](b.notice("p1", Notice{Backoff: backoff}))
	require.Equal(t, StatusBackoff, cmd.Status)
	end := b.now + backoff
	require.Zero(t, b.distribute(9)["p1"])

	b.notice("p1", Notice{Backoff: time.Second})
	b.advance(2 * time.Second)
	require.Zero(t, b.distribute(9)["p1"], "a later answer asked for less")

	b.requireExcluded(goneRetention + time.Second)
	require.Less(t, b.now, end)

	b.list("p0", "p3", "p2")
	require.Positive(t, b.distribute(9)["p3"], "its next life")
	b.list("p0", "p1", "p2")
	b.advance(end - b.now)
	require.Positive(t, b.distribute(9)["p1"], "that time is over")
}

// TestBackoffOfAll has all servers of a service ask the router to back off: what comes is refused
// at once, and none of them is a last resort, also where they leave.
func TestBackoffOfAll(t *testing.T) {
	b := newNoticeBench(t, "p0", "p1")
	b.notice("p0", Notice{Backoff: time.Second})
	b.notice("p1", Notice{Backoff: 3 * time.Second, Leaving: true})
	refused, ok := findCmd[RefuseCmd](b.arrive(b.plainRequest()))
	require.True(t, ok)
	require.Equal(t, ReasonBackoff, refused.Reason)
	require.Greater(t, refused.RetryAfter, time.Second, "not before the first of them wants requests again")
	require.Less(t, refused.RetryAfter, 2*time.Second)
	b.notice("p0", Notice{Leaving: true})
	_, sent := findCmd[SendCmd](b.arrive(b.plainRequest()))
	require.False(t, sent)
}

// TestLastServerGone has requests wait for servers of which the last that may get any then says
// that it wants none, leaves, or goes from the list: they are refused at once, as waiting would
// only hold their callers up.
func TestLastServerGone(t *testing.T) {
	for name, goes := range map[string]func(b *noticeBench) []Cmd{
		"backs off": func(b *noticeBench) []Cmd { return b.notice("p0", Notice{Backoff: time.Second}) },
		"leaves":    func(b *noticeBench) []Cmd { return b.notice("p0", Notice{Leaving: true}) },
		"is gone":   func(b *noticeBench) []Cmd { return b.listAs() },
	} {
		b := newNoticeBench(t, "p0")
		for range 4 + maxPlainExcess {
			b.sent(b.arrive(b.plainRequest()))
		}
		queued := b.plainRequest()
		require.Empty(t, b.arrive(queued), "it waits")
		refused, ok := findCmd[RefuseCmd](goes(b))
		require.True(t, ok, name)
		require.Equal(t, queued.ID, refused.ID)
	}
}

// TestWithheld has servers say that they want nothing, or leave, after requests were placed there and
// before they were sent: those go elsewhere, at no cost for the server and the request, and so
// do not reach it however late the router runs. One that was placed later, as a last resort, is
// sent.
func TestWithheld(t *testing.T) {
	for name, n := range map[string]Notice{"backs off": {Backoff: time.Second}, "leaves": {Leaving: true}} {
		b := newNoticeBench(t, "p0", "p1")
		r := b.plainRequest()
		r.Attempts = 1
		server := b.sent(b.arrive(r))
		require.False(t, b.m.ShouldWithhold(b.now, r.ID), name)
		b.advance(TickInterval)
		b.notice(server, n)
		require.True(t, b.m.ShouldWithhold(b.now, r.ID), name)
		require.NotEqual(t, server, b.sent(b.end(r.ID, Withheld, true)), name)
		require.False(t, b.m.byServer[server].probation, name)
	}
	b := newNoticeBench(t, "p0")
	b.notice("p0", Notice{Leaving: true})
	b.advance(TickInterval)
	last := b.plainRequest()
	b.sent(b.arrive(last))
	require.False(t, b.m.ShouldWithhold(b.now, last.ID))
}

// TestLeavingAndBackoff has the only server of a service say both with one answer, while requests
// wait for it: they are no reason to send it one more as a last resort.
func TestLeavingAndBackoff(t *testing.T) {
	b := newNoticeBench(t, "p0")
	for range 4 + maxPlainExcess {
		b.sent(b.arrive(b.plainRequest()))
	}
	require.Empty(t, b.arrive(b.plainRequest()), "it waits")
	_, sent := findCmd[SendCmd](b.notice("p0", Notice{Leaving: true, Backoff: time.Second}))
	require.False(t, sent)
}

// TestNoticesOfManyLives forgets what servers said long ago, once there were many since.
func TestForgottenNoticesAreBounded(t *testing.T) {
	var forgotten forgottenNotices
	for i := range 2 * maxForgottenNotices {
		s := &server{Server: Server{ID: string(rune(i))}, notices: serverNotices{leaving: true}}
		forgotten.add(time.Second, s)
	}
	require.Len(t, forgotten.byServer, maxForgottenNotices)
	require.Len(t, forgotten.order, maxForgottenNotices)
	require.True(t, forgotten.take(string(rune(2*maxForgottenNotices-1))).leaving)
	require.False(t, forgotten.take(string(rune(0))).leaving)
}
