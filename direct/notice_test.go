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
	h := &noticeHarness{harness: newHarness(t, 0), revision: 1}
	h.list(ids...)
	return h
}

// list applies a list of plain servers, none of them draining.
func (h *noticeHarness) list(ids ...string) {
	var all []Server
	for _, id := range ids {
		all = append(all, plainServer(id))
	}
	h.listAs(all...)
}

// listAs applies a list of servers.
func (h *noticeHarness) listAs(all ...Server) []Cmd {
	h.revision++
	return append([]Cmd(nil), h.m.Update(ServersMsg{Now: h.now, Directory: Directory{Revision: h.revision, Servers: all}})...)
}

func plainServer(id string) Server {
	return Server{ID: id, Service: "app", Zone: "a", Address: "10.0.0.1:" + id[1:], Slots: 4}
}

// plainRequest returns a repeatable request to the service with plain servers.
func (h *noticeHarness) plainRequest() Request {
	h.lastID++
	return Request{
		ID: h.lastID, Team: "red", Route: "r", Service: "app", Kind: Repeatable, MayRepeat: true, Attempts: 2,
		Objective: 300 * time.Millisecond, Deadline: h.now + 3*time.Second,
	}
}

func (h *noticeHarness) notice(server string, n Notice) []Cmd {
	return append([]Cmd(nil), h.m.Update(NoticeMsg{Now: h.now, Server: server, Notice: n})...)
}

// distribute sends some requests at once and returns how many each server got; "" counts those
// that were refused or queued.
func (h *noticeHarness) distribute(n int) map[string]int {
	got := make(map[string]int)
	var sent, waiting []RequestID
	for range n {
		r := h.plainRequest()
		cmds := h.arrive(r)
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
		h.end(id, Done, false)
	}
	for _, id := range waiting {
		h.m.Update(CancelMsg{Now: h.now, ID: id})
	}
	return got
}

// requireExcluded removes the entry of p1 and lists it again, after a short time and after a
// time in which the router has forgotten the server: p1 gets no requests in either case.
func (h *noticeHarness) requireExcluded(longAbsence time.Duration) {
	h.t.Helper()
	for _, away := range []time.Duration{goneRetention / 2, longAbsence} {
		h.list("p0", "p2")
		h.advance(away)
		h.list("p0", "p1", "p2")
		require.Zero(h.t, h.distribute(9)["p1"], "its entry came back after %s", away)
	}
}

// TestLeavingOutlastsEntries has a server announce that it is leaving while its entry lists it
// as ready. The list may be older, and the entry may lapse and come back. Only a restart of the
// server ends the notice.
func TestLeavingOutlastsEntries(t *testing.T) {
	h := newNoticeHarness(t, "p0", "p1", "p2")
	require.Positive(t, h.distribute(9)["p1"])
	_, emitted := findCmd[ServerStatusCmd](h.notice("p1", Notice{Leaving: true}))
	require.True(t, emitted, "the first notice must be logged")
	require.Empty(t, h.notice("p1", Notice{Leaving: true}), "a repeated notice must not be logged")
	require.Zero(t, h.distribute(9)["p1"])

	h.list("p0", "p1", "p2")
	require.Zero(t, h.distribute(9)["p1"], "a later entry lists it as not draining")

	h.requireExcluded(2 * goneRetention)

	h.list("p0", "p3", "p2")
	require.Positive(t, h.distribute(9)["p3"], "the restarted server")
}

// TestLeavingIsNoLastResortLater has both servers of a service announce that they are leaving.
// They serve as a last resort right after that, but not later, however their entries change.
func TestLeavingIsNoLastResortLater(t *testing.T) {
	for name, after := range map[string]func(h *noticeHarness){
		"entries stay":      func(*noticeHarness) {},
		"entries drain":     func(h *noticeHarness) { h.listAs(drainingServer("p0"), drainingServer("p1")) },
		"entries lapse":     func(h *noticeHarness) { h.list() },
		"entries came back": func(h *noticeHarness) { h.list(); h.advance(2 * goneRetention); h.list("p0", "p1") },
	} {
		h := newNoticeHarness(t, "p0", "p1")
		h.notice("p0", Notice{Leaving: true})
		h.notice("p1", Notice{Leaving: true})
		require.Zero(t, h.distribute(2)[""], name)
		h.advance(maxLastResortTime + TickInterval)
		after(h)
		require.Equal(t, map[string]int{"": 2}, h.distribute(2), name)
		h.advance(maxLapseGrace)
		require.Equal(t, map[string]int{"": 2}, h.distribute(2), name)
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
	h := newNoticeHarness(t, "p0", "p1", "p2")
	cmd, _ := findCmd[ServerStatusCmd](h.notice("p1", Notice{Backoff: backoff}))
	require.Equal(t, StatusBackoff, cmd.Status)
	end := h.now + backoff
	require.Zero(t, h.distribute(9)["p1"])

	h.notice("p1", Notice{Backoff: time.Second})
	h.advance(2 * time.Second)
	require.Zero(t, h.distribute(9)["p1"], "a later response asked for a shorter backoff")

	h.requireExcluded(goneRetention + time.Second)
	require.Less(t, h.now, end)

	h.list("p0", "p3", "p2")
	require.Positive(t, h.distribute(9)["p3"], "the restarted server")
	h.list("p0", "p1", "p2")
	h.advance(end - h.now)
	require.Positive(t, h.distribute(9)["p1"], "the backoff has ended")
}

// TestBackoffOfAll has all servers of a service ask for a backoff. Requests are refused at
// once, and no server serves as a last resort, not even a leaving one.
func TestBackoffOfAll(t *testing.T) {
	h := newNoticeHarness(t, "p0", "p1")
	h.notice("p0", Notice{Backoff: time.Second})
	h.notice("p1", Notice{Backoff: 3 * time.Second, Leaving: true})
	refused, ok := findCmd[RefuseCmd](h.arrive(h.plainRequest()))
	require.True(t, ok)
	require.Equal(t, ReasonBackoff, refused.Reason)
	require.Greater(t, refused.RetryAfter, time.Second, "not before the first backoff ends")
	require.Less(t, refused.RetryAfter, 2*time.Second)
	h.notice("p0", Notice{Leaving: true})
	_, sent := findCmd[SendCmd](h.arrive(h.plainRequest()))
	require.False(t, sent)
}

// TestLastServerGone queues requests for a service whose last available server then asks for a
// backoff, leaves, or is no longer listed. They are refused at once: waiting would only delay
// their callers.
func TestLastServerGone(t *testing.T) {
	for name, remove := range map[string]func(h *noticeHarness) []Cmd{
		"backs off": func(h *noticeHarness) []Cmd { return h.notice("p0", Notice{Backoff: time.Second}) },
		"leaves":    func(h *noticeHarness) []Cmd { return h.notice("p0", Notice{Leaving: true}) },
		"is gone":   func(h *noticeHarness) []Cmd { return h.listAs() },
	} {
		h := newNoticeHarness(t, "p0")
		for range 4 + maxPlainExcess {
			h.sent(h.arrive(h.plainRequest()))
		}
		queued := h.plainRequest()
		require.Empty(t, h.arrive(queued), "the request must be queued")
		refused, ok := findCmd[RefuseCmd](remove(h))
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
		h := newNoticeHarness(t, "p0", "p1")
		r := h.plainRequest()
		r.Attempts = 1
		server := h.sent(h.arrive(r))
		require.False(t, h.m.ShouldWithhold(h.now, r.ID), name)
		h.advance(TickInterval)
		h.notice(server, n)
		require.True(t, h.m.ShouldWithhold(h.now, r.ID), name)
		require.NotEqual(t, server, h.sent(h.end(r.ID, Withheld, true)), name)
		require.False(t, h.m.byServer[server].probation, name)
	}
	h := newNoticeHarness(t, "p0")
	h.notice("p0", Notice{Leaving: true})
	h.advance(TickInterval)
	last := h.plainRequest()
	h.sent(h.arrive(last))
	require.False(t, h.m.ShouldWithhold(h.now, last.ID))
}

// TestLeavingAndBackoff has the only server of a service announce both in one response while
// requests are queued: none of them is sent to it as a last resort.
func TestLeavingAndBackoff(t *testing.T) {
	h := newNoticeHarness(t, "p0")
	for range 4 + maxPlainExcess {
		h.sent(h.arrive(h.plainRequest()))
	}
	require.Empty(t, h.arrive(h.plainRequest()), "the request must be queued")
	_, sent := findCmd[SendCmd](h.notice("p0", Notice{Leaving: true, Backoff: time.Second}))
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
