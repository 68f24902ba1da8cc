package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// hallsOf returns a bench with many servers in halls a and b.
func newHallBench(t *testing.T, servers int) *harness {
	b := newTwoHallBench(t)
	d := Directory{Revision: 2}
	for i := range servers {
		d.Servers = append(d.Servers, Server{ID: fmt.Sprint("e", i), Service: "llm", Zone: hallOf(i), Slots: 48})
	}
	b.m.Update(ServersMsg{Now: b.now, Directory: d})
	return b
}

// dead plays callers of a router while no server of some halls can be reached: what is sent
// there ends unsent after dial, and is tried elsewhere. It returns how many were sent in
// vain and how many probes went out.
func (b *harness) runWithDeadHalls(d, dial time.Duration, halls ...string) (failed, probes int) {
	type call struct {
		at     time.Duration
		id     RequestID
		server string // probed; empty: a request was sent
	}
	var hung []call
	isDead := func(s Server) bool {
		for _, h := range halls {
			if h == s.Zone {
				return true
			}
		}
		return false
	}
	var take func(cmds []Cmd)
	take = func(cmds []Cmd) {
		for _, c := range cmds {
			switch c := c.(type) {
			case SendCmd:
				if isDead(c.Server) {
					failed++
					hung = append(hung, call{at: b.now + dial, id: c.ID})
					continue
				}
				b.m.Update(FirstEventMsg{Now: b.now, ID: c.ID})
				b.end(c.ID, Done, false)
			case ProbeCmd:
				probes++
				if isDead(c.Server) {
					hung = append(hung, call{at: b.now + dial, server: c.Server.ID})
					continue
				}
				take(append([]Cmd(nil), b.m.Update(ProbeResultMsg{Now: b.now, Server: c.Server.ID, Reached: true})...))
			}
		}
	}
	for end := b.now + d; b.now < end; {
		take(b.arrive(b.request("red", PromptPart{ID: uint64(b.lastID), Tokens: 100}, PromptPart{ID: uint64(b.lastID) << 20, Tokens: 100})))
		take(b.advance(TickInterval))
		kept := hung[:0]
		for _, c := range hung {
			switch {
			case c.at > b.now:
				kept = append(kept, c)
			case c.server != "":
				take(append([]Cmd(nil), b.m.Update(ProbeResultMsg{Now: b.now, Server: c.server})...))
			default:
				take(b.end(c.id, Unsent, true))
			}
		}
		hung = append([]call(nil), kept...)
	}
	return failed, probes
}

// TestLostHallIsFoundOnce takes the power from a hall of many servers: a router sends few
// requests there in vain, however many servers the hall has: 5, 7 and 10 in 5 s, and 24, 169
// and 191 where it finds out server by server.
func TestLostHallIsFoundOnce(t *testing.T) {
	for _, servers := range []int{12, 200, 2000} {
		b := newHallBench(t, servers)
		b.countByHall(time.Second)
		vain, probes := b.runWithDeadHalls(5*time.Second, 300*time.Millisecond, "b")
		require.LessOrEqual(t, vain, 15, "%d servers", servers)
		require.LessOrEqual(t, probes, 40, "%d servers", servers)
		vain, _ = b.runWithDeadHalls(5*time.Second, 300*time.Millisecond)
		require.Zero(t, vain)
		require.NotZero(t, b.countByHall(time.Second)["b"], "the hall is used again")
	}
}

// TestFewDeadServersLoseNoHall has one server in six of a hall out of reach.
func TestFewDeadServersLoseNoHall(t *testing.T) {
	b := newHallBench(t, 60)
	lost := 0
	for range 400 {
		r := b.request("red", PromptPart{ID: uint64(b.lastID), Tokens: 100}, PromptPart{ID: uint64(b.lastID) << 20, Tokens: 100})
		for cmds := b.arrive(r); ; {
			c, ok := findCmd[SendCmd](cmds)
			if !ok {
				break
			}
			var n int
			_, err := fmt.Sscanf(c.Server.ID, "e%d", &n)
			require.NoError(t, err)
			if n%12 == 1 {
				cmds = b.end(r.ID, Unsent, true)
				if reach, ok := findCmd[HallReachabilityCmd](cmds); ok && reach.Lost {
					lost++
				}
				continue
			}
			b.m.Update(FirstEventMsg{Now: b.now, ID: r.ID})
			b.end(r.ID, Done, false)
			break
		}
		b.advance(TickInterval)
	}
	require.Zero(t, lost)
}

// TestFalseAlarmEndsAtOnce takes a hall for lost that lives: the first answer to a probe
// ends that.
func TestFalseAlarmEndsAtOnce(t *testing.T) {
	b := newHallBench(t, 60)
	for i := range lostThreshold {
		b.m.Update(ProbeResultMsg{Now: b.now, Server: fmt.Sprint("e", 2*i+1)})
	}
	require.Zero(t, b.countByHall(100 * time.Millisecond)["b"])
	probe, ok := findCmd[ProbeCmd](b.advance(minProbeInterval))
	require.True(t, ok)
	b.m.Update(ProbeResultMsg{Now: b.now, Server: probe.Server.ID, Reached: true})
	require.NotZero(t, b.countByHall(time.Second)["b"])
}

// TestQuietHallIsProbed has the routers of a hall fall silent: its servers are probed, so
// that no caller has to find out that they are gone too.
func TestQuietHallIsProbed(t *testing.T) {
	b := newHallBench(t, 60)
	b.advance(time.Second)
	b.m.Update(MembershipMsg{Now: b.now, Routers: 9, ReportTTL: time.Second, Known: 9, SilentHalls: []string{"b"}})
	probes := b.advance(TickInterval)
	require.Len(t, probes, probesPerRound)
	for _, c := range probes {
		b.m.Update(ProbeResultMsg{Now: b.now, Server: c.(ProbeCmd).Server.ID})
	}
	require.Zero(t, b.countByHall(time.Second)["b"])
	b.m.Update(MembershipMsg{Now: b.now, Routers: 9, ReportTTL: time.Second, Known: 9})
	probe, ok := findCmd[ProbeCmd](b.advance(maxProbeInterval))
	require.True(t, ok, "a lost hall is probed on")
	b.m.Update(ProbeResultMsg{Now: b.now, Server: probe.Server.ID, Reached: true})
	require.NotZero(t, b.countByHall(time.Second)["b"])
}

// TestLateRouterLosesNoHall has a router that is late itself reach nobody.
func TestLateRouterLosesNoHall(t *testing.T) {
	b := newHallBench(t, 60)
	for i := range 2 * lostThreshold {
		b.m.Update(ProbeResultMsg{Now: b.now, Server: fmt.Sprint("e", 2*i+1), RouterLate: true})
	}
	require.NotZero(t, b.countByHall(time.Second)["b"])
}
