package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// noticeHarness is a harness with plain servers. It numbers its lists.
type noticeHarness struct {
	*harness
	revision uint64
}

// newNoticeHarness returns a harness with some plain servers.
func newNoticeHarness(t *testing.T, ids ...string) *noticeHarness {
	b := &noticeHarness{harness: newHarness(t, 0), revision: 1}
	b.list(ids...)
	return b
}

// list applies a list of plain servers, none of them draining.
func (b *noticeHarness) list(ids ...string) {
	var all []Server
	for _, id := range ids {
		all = append(all, plainServer(id))
	}
	b.listAs(all...)
}

// listAs applies a list of servers.
func (b *noticeHarness) listAs(all ...Server) []Cmd {
	b.revision++
	return append([]Cmd(nil), b.m.Update(ServersMsg{Now: b.now, Directory: Directory{Revision: b.revision, Servers: all}})...)
}

func plainServer(id string) Server {
	return Server{ID: id, Service: "app", Zone: "a", Address: "10.0.0.1:" + id[1:], Slots: 4}
}

// plainRequest returns a repeatable request to the service with plain servers.
func (b *noticeHarness) plainRequest() Request {
	b.lastID++
	return Request{
		ID: b.lastID, Team: "red", Route: "r", Service: "app", Kind: Repeatable, MayRepeat: true, Attempts: 2,
		Objective: 300 * time.Millisecond, Deadline: b.now + 3*time.Second,
	}
}

func (b *noticeHarness) notice(server string, n Notice) []Cmd {
	return append([]Cmd(nil), b.m.Update(NoticeMsg{Now: b.now, Server: server, Notice: n})...)
}

// distribute sends some requests at once and returns how many each server got; "" counts those
// that were refused or queued.
func (b *noticeHarness) distribute(n int) map[string]int {
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

// requireExcluded removes the entry of p1 and lists it again, after a short time and after a
// time in which the router has forgotten the server: p1 gets no requests in either case.
func (b *noticeHarness) requireExcluded(longAbsence time.Duration) {
	b.t.Helper()
	for _, away := range []time.Duration{goneRetention / 2, longAbsence} {
		b.list("p0", "p2")
		b.advance(away)
		b.list("p0", "p1", "p2")
		require.Zero(b.t, b.distribute(9)["p1"], "its entry came back after %s", away)
	}
}

// TestLeavingOutlastsEntries has a server announce that it is leaving while its entry lists it
// as ready. The list may be older, and the entry may lapse and come back. Only a restart of the
// server ends the notice.
func TestLeavingOutlastsEntries(t *testing.T) {
	b := newNoticeHarness(t, "p0", "p1", "p2")
	require.Positive(t, b.distribute(9)["p1"])
	_, emitted := findCmd[ServerStatusCmd](b.notice("p1", Notice{Leaving: true}))
	require.True(t, emitted, "the first notice must be logged")
	require.Empty(t, b.notice("p1", Notice{Leaving: true}), "a repeated notice must not be logged")
	require.Zero(t, b.distribute(9)["p1"])

	b.list("p0", "p1", "p2")
	require.Zero(t, b.distribute(9)["p1"], "a later entry lists it as not draining")

	b.requireExcluded(2 * goneRetention)

	b.list("p0", "p3", "p2")
	require.Positive(t, b.distribute(9)["p3"], "the restarted server")
}

// TestLeavingIsNoLastResortLater has both servers of a service announce that they are leaving.
// They serve as a last resort right after that, but not later, however their entries change.
func TestLeavingIsNoLastResortLater(t *testing.T) {
	for name, after := range map[string]func(b *noticeHarness){
		"entries stay":      func(*noticeHarness) {},
		"entries drain":     func(b *noticeHarness) { b.listAs(drainingServer("p0"), drainingServer("p1")) },
		"entries lapse":     func(b *noticeHarness) { b.list() },
		"entries came back": func(b *noticeHarness) { b.list(); b.advance(2 * goneRetention); b.list("p0", "p1") },
	} {
		b := newNoticeHarness(t, "p0", "p1")
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

// TestBackoff has a server turn a request away and ask for a backoff. It gets no requests until
// the backoff ends, even if its entry lapses meanwhile, if it responds to others, or if it asks
// for a shorter time.
func TestBackoff(t *testing.T) {
	const backoff = 30 * time.Second
	b := newNoticeHarness(t, "p0", "p1", "p2")
	cmd, _ := findCmd[ServerStatusCmd](b.notice("p1", Notice{Backoff: backoff}))
	require.Equal(t, StatusBackoff, cmd.Status)
	end := b.now + backoff
	require.Zero(t, b.distribute(9)["p1"])

	b.notice("p1", Notice{Backoff: time.Second})
	b.advance(2 * time.Second)
	require.Zero(t, b.distribute(9)["p1"], "a later response asked for a shorter backoff")

	b.requireExcluded(goneRetention + time.Second)
	require.Less(t, b.now, end)

	b.list("p0", "p3", "p2")
	require.Positive(t, b.distribute(9)["p3"], "the restarted server")
	b.list("p0", "p1", "p2")
	b.advance(end - b.now)
	require.Positive(t, b.distribute(9)["p1"], "the backoff has ended")
}

// TestBackoffOfAll has all servers of a service ask for a backoff. Requests are refused at
// once, and no server serves as a last resort, not even a leaving one.
func TestBackoffOfAll(t *testing.T) {
	b := newNoticeHarness(t, "p0", "p1")
	b.notice("p0", Notice{Backoff: time.Second})
	b.notice("p1", Notice{Backoff: 3 * time.Second, Leaving: true})
	refused, ok := findCmd[RefuseCmd](b.arrive(b.plainRequest()))
	require.True(t, ok)
	require.Equal(t, ReasonBackoff, refused.Reason)
	require.Greater(t, refused.RetryAfter, time.Second, "not before the first backoff ends")
	require.Less(t, refused.RetryAfter, 2*time.Second)
	b.notice("p0", Notice{Leaving: true})
	_, sent := findCmd[SendCmd](b.arrive(b.plainRequest()))
	require.False(t, sent)
}

// TestLastServerGone queues requests for a service whose last available server then asks for a
// backoff, leaves, or is no longer listed. They are refused at once: waiting would only delay
// their callers.
func TestLastServerGone(t *testing.T) {
	for name, remove := range map[string]func(b *noticeHarness) []Cmd{
		"backs off": func(b *noticeHarness) []Cmd { return b.notice("p0", Notice{Backoff: time.Second}) },
		"leaves":    func(b *noticeHarness) []Cmd { return b.notice("p0", Notice{Leaving: true}) },
		"is gone":   func(b *noticeHarness) []Cmd { return b.listAs() },
	} {
		b := newNoticeHarness(t, "p0")
		for range 4 + maxPlainExcess {
			b.sent(b.arrive(b.plainRequest()))
		}
		queued := b.plainRequest()
		require.Empty(t, b.arrive(queued), "the request must be queued")
		refused, ok := findCmd[RefuseCmd](remove(b))
		require.True(t, ok, name)
		require.Equal(t, queued.ID, refused.ID)
	}
}

// TestWithheld has servers announce a backoff, or that they are leaving, after requests were
// placed there and before they were sent. The requests go to other servers, however late the
// router runs, and count neither as a failure nor as an attempt. A request that was placed
// later, as a last resort, is sent.
func TestWithheld(t *testing.T) {
	for name, n := range map[string]Notice{"backs off": {Backoff: time.Second}, "leaves": {Leaving: true}} {
		b := newNoticeHarness(t, "p0", "p1")
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
	b := newNoticeHarness(t, "p0")
	b.notice("p0", Notice{Leaving: true})
	b.advance(TickInterval)
	last := b.plainRequest()
	b.sent(b.arrive(last))
	require.False(t, b.m.ShouldWithhold(b.now, last.ID))
}

// TestLeavingAndBackoff has the only server of a service announce both in one response while
// requests are queued: none of them is sent to it as a last resort.
func TestLeavingAndBackoff(t *testing.T) {
	b := newNoticeHarness(t, "p0")
	for range 4 + maxPlainExcess {
		b.sent(b.arrive(b.plainRequest()))
	}
	require.Empty(t, b.arrive(b.plainRequest()), "the request must be queued")
	_, sent := findCmd[SendCmd](b.notice("p0", Notice{Leaving: true, Backoff: time.Second}))
	require.False(t, sent)
}

// TestForgottenNoticesAreBounded drops the oldest notices of forgotten servers when there are
// too many.
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
