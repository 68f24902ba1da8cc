package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newHallHarness returns a harness with many servers in halls a and b.
func newHallHarness(t *testing.T, servers int) *harness {
	h := newTwoHallHarness(t)
	d := Directory{Revision: 2}
	for i := range servers {
		d.Servers = append(d.Servers, Server{ID: fmt.Sprint("e", i), Service: "llm", Zone: hallOf(i), Slots: 48})
	}
	h.m.Update(ServersMsg{Now: h.now, Directory: d})
	return h
}

// runWithDeadHalls sends requests while no server of some halls can be reached: attempts there
// end as unsent after dial and are retried. It returns the number of failed attempts and of
// probes.
func (h *harness) runWithDeadHalls(d, dial time.Duration, halls ...string) (failed, probes int) {
	type call struct {
		at     time.Duration
		id     RequestID
		server string // probed; empty: a request was sent
	}
	var inFlight []call
	isDead := func(s Server) bool {
		for _, hall := range halls {
			if hall == s.Zone {
				return true
			}
		}
		return false
	}
	var handleCmds func(cmds []Cmd)
	handleCmds = func(cmds []Cmd) {
		for _, c := range cmds {
			switch c := c.(type) {
			case SendCmd:
				if isDead(c.Server) {
					failed++
					inFlight = append(inFlight, call{at: h.now + dial, id: c.ID})
					continue
				}
				h.m.Update(FirstEventMsg{Now: h.now, ID: c.ID})
				h.end(c.ID, Done, false)
			case ProbeCmd:
				probes++
				if isDead(c.Server) {
					inFlight = append(inFlight, call{at: h.now + dial, server: c.Server.ID})
					continue
				}
				handleCmds(append([]Cmd(nil), h.m.Update(ProbeResultMsg{Now: h.now, Server: c.Server.ID, Reached: true})...))
			}
		}
	}
	for end := h.now + d; h.now < end; {
		handleCmds(h.arrive(h.request("red", PromptPart{ID: uint64(h.lastID), Tokens: 100}, PromptPart{ID: uint64(h.lastID) << 20, Tokens: 100})))
		handleCmds(h.advance(TickInterval))
		kept := inFlight[:0]
		for _, c := range inFlight {
			switch {
			case c.at > h.now:
				kept = append(kept, c)
			case c.server != "":
				handleCmds(append([]Cmd(nil), h.m.Update(ProbeResultMsg{Now: h.now, Server: c.server})...))
			default:
				handleCmds(h.end(c.id, Unsent, true))
			}
		}
		inFlight = append([]call(nil), kept...)
	}
	return failed, probes
}

// TestLostHallIsFoundOnce cuts off a hall of many servers: a router sends few requests there,
// however many servers the hall has. In 5 s these are 5, 7 and 10, compared with 24, 169 and
// 191 if each server is detected separately.
func TestLostHallIsFoundOnce(t *testing.T) {
	for _, servers := range []int{12, 200, 2000} {
		h := newHallHarness(t, servers)
		h.countByHall(time.Second)
		failed, probes := h.runWithDeadHalls(5*time.Second, 300*time.Millisecond, "b")
		require.LessOrEqual(t, failed, 15, "%d servers", servers)
		require.LessOrEqual(t, probes, 40, "%d servers", servers)
		failed, _ = h.runWithDeadHalls(5*time.Second, 300*time.Millisecond)
		require.Zero(t, failed)
		require.NotZero(t, h.countByHall(time.Second)["b"], "the hall must be used again")
	}
}

// TestFewDeadServersLoseNoHall makes one server in six of a hall unreachable.
func TestFewDeadServersLoseNoHall(t *testing.T) {
	h := newHallHarness(t, 60)
	lost := 0
	for range 400 {
		r := h.request("red", PromptPart{ID: uint64(h.lastID), Tokens: 100}, PromptPart{ID: uint64(h.lastID) << 20, Tokens: 100})
		for cmds := h.arrive(r); ; {
			c, ok := findCmd[SendCmd](cmds)
			if !ok {
				break
			}
			var n int
			_, err := fmt.Sscanf(c.Server.ID, "e%d", &n)
			require.NoError(t, err)
			if n%12 == 1 {
				cmds = h.end(r.ID, Unsent, true)
				if reach, ok := findCmd[HallReachabilityCmd](cmds); ok && reach.Lost {
					lost++
				}
				continue
			}
			h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID})
			h.end(r.ID, Done, false)
			break
		}
		h.advance(TickInterval)
	}
	require.Zero(t, lost)
}

// TestFalseAlarmEndsAtOnce marks a hall as lost that is alive: the first successful probe ends
// that.
func TestFalseAlarmEndsAtOnce(t *testing.T) {
	h := newHallHarness(t, 60)
	for i := range minUnreachable {
		h.m.Update(ProbeResultMsg{Now: h.now, Server: fmt.Sprint("e", 2*i+1)})
	}
	require.Zero(t, h.countByHall(100 * time.Millisecond)["b"])
	probe, ok := findCmd[ProbeCmd](h.advance(minProbeInterval))
	require.True(t, ok)
	h.m.Update(ProbeResultMsg{Now: h.now, Server: probe.Server.ID, Reached: true})
	require.NotZero(t, h.countByHall(time.Second)["b"])
}

// TestQuietHallIsProbed stops the heartbeats of all routers of a hall. Its servers are probed,
// so that no caller's request has to detect that they are gone too.
func TestQuietHallIsProbed(t *testing.T) {
	h := newHallHarness(t, 60)
	h.advance(time.Second)
	h.m.Update(MembershipMsg{Now: h.now, Routers: 9, ReportTTL: time.Second, Known: 9, SilentHalls: []string{"b"}})
	probes := h.advance(TickInterval)
	require.Len(t, probes, probesPerRound)
	for _, c := range probes {
		h.m.Update(ProbeResultMsg{Now: h.now, Server: c.(ProbeCmd).Server.ID})
	}
	require.Zero(t, h.countByHall(time.Second)["b"])
	h.m.Update(MembershipMsg{Now: h.now, Routers: 9, ReportTTL: time.Second, Known: 9})
	probe, ok := findCmd[ProbeCmd](h.advance(maxProbeInterval))
	require.True(t, ok, "a lost hall must be probed again")
	h.m.Update(ProbeResultMsg{Now: h.now, Server: probe.Server.ID, Reached: true})
	require.NotZero(t, h.countByHall(time.Second)["b"])
}

// TestLateRouterLosesNoHall checks that a router that is late itself marks no hall as lost.
func TestLateRouterLosesNoHall(t *testing.T) {
	h := newHallHarness(t, 60)
	for i := range 2 * minUnreachable {
		h.m.Update(ProbeResultMsg{Now: h.now, Server: fmt.Sprint("e", 2*i+1), RouterLate: true})
	}
	require.NotZero(t, h.countByHall(time.Second)["b"])
}

// TestStoppedServersAreNoLostHall guards against a hall that counts as lost because the old servers
// of a completed rollout, which were stopped all at once, refuse the streams that they began.
func TestStoppedServersAreNoLostHall(t *testing.T) {
	h := newHarness(t, 0)
	d := versionDirectory(2, 9, "v1", "v2")
	for i := range d.Servers {
		d.Servers[i].Zone = "a"
	}
	h.list(d)
	for range 4 {
		r := h.request("red")
		r.Version = "v1"
		h.sent(h.arrive(r))
		h.m.Update(AttemptEndMsg{Now: h.now, ID: r.ID, Outcome: Unsent, ConnRefused: true})
	}
	r := h.request("red")
	r.Version = "v2"
	h.sent(h.arrive(r))
}

// TestServersWithoutReportLoseNoHall guards against data halls that are left because some of their servers
// accept connections and then send garbage: the others are still sound.
func TestServersWithoutReportLoseNoHall(t *testing.T) {
	for _, outcome := range []Outcome{Unidentified, Unsent} {
		h := newHallHarness(t, 16)
		for range 4 * minUnreachable {
			h.arrive(h.request("red"))
			h.m.Update(AttemptEndMsg{Now: h.now, ID: h.lastID, Outcome: outcome})
		}
		require.Equal(t, outcome == Unsent, h.m.reachOf("a").lost || h.m.reachOf("b").lost)
	}
}
