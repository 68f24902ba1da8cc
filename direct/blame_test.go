package direct

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
)

// harmful is a content under which servers crash.
const harmful quarantine.Content = 99

// with returns a request of a content.
func (b *bench) with(c quarantine.Content) Request {
	r := b.request("red", Part{ID: uint64(b.next), Tokens: 100}, Part{ID: uint64(b.next) << 20, Tokens: 1000})
	r.Content = c
	return r
}

// crash has the attempt of a request break off, with its server's host answering the probe as
// said, and returns what the request gets next.
func (b *bench) crash(id RequestID, probed ProbeMsg) []Cmd {
	cmds := b.end(id, Broken, true)
	if probe, ok := find[ProbeCmd](cmds); ok {
		probed.Now, probed.Server = b.now, probe.Server.ID
		cmds = append(cmds, b.m.Update(probed)...)
	}
	return cmds
}

// crashOnce sends a request once, which crashes its server.
func (b *bench) crashOnce(c quarantine.Content) {
	b.t.Helper()
	r := b.with(c)
	b.sent(b.arrive(r))
	r.Attempts = 1
	b.m.runs[r.ID].Attempts = 1
	b.crash(r.ID, ProbeMsg{Refused: true})
	b.pass(5 * time.Second) // others are there meanwhile
}

// TestThirdCrashIsTheLast has servers crash under one content: its third crash ends the
// request, though it has attempts left, and who asks for it again is refused at once.
// Requests of other contents are sent.
func TestThirdCrashIsTheLast(t *testing.T) {
	b := newBench(t, 8)
	first := b.with(harmful)
	b.sent(b.arrive(first))
	b.sent(b.crash(first.ID, ProbeMsg{Refused: true}))
	failed, ok := find[FailCmd](b.crash(first.ID, ProbeMsg{Refused: true}))
	require.True(t, ok)
	require.Equal(t, ReasonAttempts, failed.Reason)

	second := b.with(harmful)
	b.sent(b.arrive(second))
	cmds := b.crash(second.ID, ProbeMsg{Refused: true})
	failed, ok = find[FailCmd](cmds)
	require.True(t, ok, "no further server: %v", cmds)
	require.Equal(t, ReasonCrashes, failed.Reason)
	began, ok := find[QuarantineCmd](cmds)
	require.True(t, ok)
	require.Equal(t, quarantine.Change{Content: harmful, Barred: true, Crashes: 3}, began.Change)

	refused, ok := find[RefuseCmd](b.arrive(b.with(harmful)))
	require.True(t, ok)
	require.Equal(t, ReasonCrashes, refused.Reason)
	require.Equal(t, quarantine.Hold, refused.After)
	b.sent(b.arrive(b.with(harmful + 1)))
	b.sent(b.arrive(b.with(0)))
}

// TestBrokenConnectionIsNoCrash has attempts break off at servers that live, or of which
// nobody knows: that blames nobody.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	for _, probed := range []ProbeMsg{{Reached: true}, {}, {Slow: true}} {
		b := newBench(t, 8)
		for range 4 {
			r := b.with(harmful)
			b.sent(b.arrive(r))
			b.crash(r.ID, probed)
			b.pass(5 * time.Second)
		}
		require.Zero(t, b.m.suspects.Crashes(harmful))
	}
}

// TestEndingServerIsProbedAgain has a server that ends break its connections off before it stops
// listening: the first probe still reaches it, the second doesn't.
func TestEndingServerIsProbedAgain(t *testing.T) {
	for refused, crashes := range map[bool]int{true: 1, false: 0} {
		b := newBench(t, 2)
		r := b.with(harmful)
		b.sent(b.arrive(r))
		b.crash(r.ID, ProbeMsg{Reached: true})
		require.Zero(t, b.m.suspects.Crashes(harmful))
		_, early := find[ProbeCmd](b.pass(probeAgainAfter - TickEvery))
		require.False(t, early)
		probe, again := find[ProbeCmd](b.pass(2 * TickEvery))
		require.True(t, again)
		b.m.Update(ProbeMsg{Now: b.now, Server: probe.Server.ID, Reached: !refused, Refused: refused})
		require.Equal(t, crashes, b.m.suspects.Crashes(harmful))
		_, more := find[ProbeCmd](b.pass(time.Second))
		require.False(t, more)
	}
}

// TestSettledRequestIsNotBlamed has a server crash under a request that it has worked on for
// long, and under one that has just begun.
func TestSettledRequestIsNotBlamed(t *testing.T) {
	for settled, crashes := range map[time.Duration]int{settledAfter: 0, settledAfter - TickEvery: 1} {
		b := newBench(t, 2)
		r := b.with(harmful)
		b.sent(b.arrive(r))
		b.m.Update(FirstMsg{Now: b.now, ID: r.ID})
		b.pass(settled)
		b.crash(r.ID, ProbeMsg{Refused: true})
		require.Equal(t, crashes, b.m.suspects.Crashes(harmful))
		b.m.Update(FirstMsg{Now: b.now, ID: r.ID})
		b.end(r.ID, Done, false)
		require.Zero(t, b.m.suspects.Crashes(harmful), "it was answered elsewhere")
	}
}

// TestAllThatBrokeOffAreBlamed has a server crash with several requests: one probe tells of
// all, also of those that are looked at after it.
func TestAllThatBrokeOffAreBlamed(t *testing.T) {
	b := newBench(t, 1)
	var all []Request
	for i := range quarantine.Content(3) {
		r := b.with(harmful + i)
		r.Attempts = 1
		b.sent(b.arrive(r))
		all = append(all, r)
	}
	probe, ok := find[ProbeCmd](b.end(all[0].ID, Broken, true))
	require.True(t, ok)
	_, ok = find[ProbeCmd](b.end(all[1].ID, Broken, true))
	require.False(t, ok, "one probe is enough")
	crashed, ok := find[CrashCmd](b.m.Update(ProbeMsg{Now: b.now, Server: probe.Server.ID, Refused: true}))
	require.True(t, ok)
	require.Len(t, crashed.Suspects, 2)
	_, ok = find[ProbeCmd](b.end(all[2].ID, Broken, true))
	require.False(t, ok)
	for i := range quarantine.Content(3) {
		require.Equal(t, 1, b.m.suspects.Crashes(harmful+i))
	}
}

// TestQuarantineReachesAllRouters has servers crash at one router: another one refuses what
// crashes them, also a request that waits in its queue.
func TestQuarantineReachesAllRouters(t *testing.T) {
	here, there := newBench(t, 8), newBench(t, 1)
	for range quarantine.CrashesMost {
		here.crashOnce(harmful)
	}
	for range 60 { // its server is busy
		there.arrive(there.with(1))
	}
	waits := there.with(harmful)
	require.Empty(t, there.arrive(waits), "it waits")
	there.m.Update(PeerMsg{Now: there.now, Peer: "here", Report: here.m.Report(here.now)})
	refused := there.pass(TickEvery)
	found := false
	for _, c := range refused {
		if c, ok := c.(RefuseCmd); ok && c.ID == waits.ID {
			found = true
			require.Equal(t, ReasonCrashes, c.Reason)
		}
	}
	require.True(t, found)
	cmd, ok := find[RefuseCmd](there.arrive(there.with(harmful)))
	require.True(t, ok)
	require.Equal(t, ReasonCrashes, cmd.Reason)
}

// crashPlay is routers in memory, and servers that crash under some contents and are followed by
// others.
type crashPlay struct {
	fleet   []*bench
	random  *rand.Rand
	servers Directory
	crashed []string // servers that are to be followed by others
	ended   map[quarantine.Content]int
	content quarantine.Content // of the next request that does no harm
	asked   int                // such requests
	refused int                // of these, for what crashed servers
}

func newCrashPlay(t *testing.T, seed uint64) *crashPlay {
	p := &crashPlay{
		random: rand.New(rand.NewPCG(seed, 1)), servers: directory(1, 12), ended: make(map[quarantine.Content]int), content: 1 << 32,
	}
	for range 4 {
		p.fleet = append(p.fleet, newBench(t, 12))
	}
	return p
}

// ask has a request that crashes servers come to one router, and be tried as often as that allows.
func (p *crashPlay) ask(content quarantine.Content) {
	b := p.fleet[p.random.IntN(len(p.fleet))]
	r := b.with(content)
	cmds := b.arrive(r)
	for send, sent := find[SendCmd](cmds); sent; send, sent = find[SendCmd](cmds) {
		p.ended[content]++
		p.crashed = append(p.crashed, send.Server.ID)
		company := p.company(send.Server.ID)
		cmds = b.crash(r.ID, ProbeMsg{Refused: true})
		p.breakOff(company)
	}
}

// harmless is a request that does no harm, at a router.
type harmless struct {
	at *bench
	r  Request
}

// company starts requests at all routers, and returns those that a server runs; the others end
// well.
func (p *crashPlay) company(server string) []harmless {
	var there []harmless
	for range 30 {
		p.content++
		p.asked++
		b := p.fleet[p.random.IntN(len(p.fleet))]
		r := b.with(p.content)
		send, sent := find[SendCmd](b.arrive(r))
		switch {
		case sent && send.Server.ID == server:
			there = append(there, harmless{b, r})
		case sent:
			b.m.Update(FirstMsg{Now: b.now, ID: r.ID})
			b.end(r.ID, Done, false)
		}
	}
	return there
}

// breakOff has requests break off with their server; each is tried on as its router says, and now
// and then at a server that crashes too.
func (p *crashPlay) breakOff(company []harmless) {
	for _, h := range company {
		cmds := h.at.crash(h.r.ID, ProbeMsg{Refused: true})
		for send, sent := find[SendCmd](cmds); sent; send, sent = find[SendCmd](cmds) {
			if p.random.IntN(4) > 0 {
				h.at.m.Update(FirstMsg{Now: h.at.now, ID: h.r.ID})
				h.at.end(h.r.ID, Done, false)
				break
			}
			p.crashed = append(p.crashed, send.Server.ID)
			cmds = h.at.crash(h.r.ID, ProbeMsg{Refused: true})
		}
		if failed, ok := find[FailCmd](cmds); ok && failed.Reason == ReasonCrashes {
			p.refused++
		}
	}
}

// pass lets half a second pass: servers that crashed are followed by others, and routers tell one
// another five times, of which a third is lost.
func (p *crashPlay) pass() {
	p.servers.Revision++
	for i := range p.servers.Servers {
		if s := &p.servers.Servers[i]; slices.Contains(p.crashed, s.ID) {
			s.ID += "'"
		}
	}
	p.crashed = nil
	for _, b := range p.fleet {
		b.m.Update(ServersMsg{Now: b.now, Directory: p.servers})
	}
	for range 5 {
		for i, from := range p.fleet {
			report := from.m.Report(from.now)
			for j, to := range p.fleet {
				if i != j && p.random.IntN(3) > 0 {
					to.m.Update(PeerMsg{Now: to.now, Peer: "x", Report: report})
				}
			}
		}
		for _, b := range p.fleet {
			b.pass(100 * time.Millisecond)
		}
	}
}

// TestCrashesStayFew has ten requests crash servers, each every half second at some router, among
// others that break off with them and sometimes once more. Routers tell one another of it, and a
// third of that is lost: of each one no more than two servers end beyond the three that are
// allowed, and one in a thousand of the others is refused for crashes at the most.
func TestCrashesStayFew(t *testing.T) {
	asked, refused := 0, 0
	for seed := range uint64(20) {
		p := newCrashPlay(t, seed)
		for i := range 100 {
			p.ask(harmful + quarantine.Content(i%10))
			p.pass()
		}
		for content, ended := range p.ended {
			require.LessOrEqual(t, ended, quarantine.CrashesMost+2, "seed %d, content %d", seed, content)
		}
		asked, refused = asked+p.asked, refused+p.refused
	}
	t.Logf("%d of %d others were refused for crashes", refused, asked)
	require.LessOrEqual(t, refused, asked/1000)
}

// copyOf is one of several requests of the same content, at a router.
type copyOf struct {
	at     *bench
	r      Request
	server string // that it was last sent to
}

// wave has copies of requests arrive at routers before any of them is answered, and end all servers
// that run them at the same moment; those that are tried on are the next to do so. It tells how many
// servers ended under each content.
func (p *crashPlay) wave(contents []quarantine.Content) map[quarantine.Content]int {
	var running []copyOf
	for _, content := range contents {
		b := p.fleet[p.random.IntN(len(p.fleet))]
		r := b.with(content)
		if server, sent := p.reaches(b, r.ID, b.arrive(r)); sent {
			running = append(running, copyOf{b, r, server})
		}
	}
	ended := make(map[quarantine.Content]int)
	for len(running) > 0 {
		under := make(map[quarantine.Content][]string)
		for _, c := range running {
			if !slices.Contains(under[c.r.Content], c.server) {
				under[c.r.Content] = append(under[c.r.Content], c.server)
				ended[c.r.Content]++
			}
			p.crashed = append(p.crashed, c.server)
		}
		var next []copyOf
		for _, c := range running {
			cmds := c.at.crash(c.r.ID, ProbeMsg{Refused: true})
			if server, sent := p.reaches(c.at, c.r.ID, cmds); sent {
				next = append(next, copyOf{c.at, c.r, server})
			}
		}
		running = next
	}
	return ended
}

// reaches returns the server that a request reaches after some commands. Those that have ended
// refuse its connection.
func (p *crashPlay) reaches(b *bench, id RequestID, cmds []Cmd) (server string, sent bool) {
	for send, sent := find[SendCmd](cmds); sent; send, sent = find[SendCmd](cmds) {
		runs := slices.ContainsFunc(p.servers.Servers, func(s Server) bool { return s.ID == send.Server.ID })
		if runs && !slices.Contains(p.crashed, send.Server.ID) {
			return send.Server.ID, true
		}
		cmds = b.end(id, Unsent, true)
	}
	return "", false
}

// TestCrashesTogetherStayFew has two requests that crash servers come at the same moments, a few
// copies of each, so that servers end under both and the one that ended more explains the other's. Of
// each at most three servers end once routers have told one another of the first three.
func TestCrashesTogetherStayFew(t *testing.T) {
	for seed := range uint64(200) {
		p := newCrashPlay(t, seed)
		ended, late := make(map[quarantine.Content]int), make(map[quarantine.Content]int)
		for range 30 {
			var contents []quarantine.Content
			for content := harmful; content < harmful+2; content++ {
				for range p.random.IntN(4) {
					contents = append(contents, content)
				}
			}
			line := fmt.Sprint("seed ", seed, " known before")
			for _, b := range p.fleet {
				line += fmt.Sprint(" | ", b.m.suspects.Crashes(harmful), b.m.suspects.Crashes(harmful+1), b.m.suspects.OneMore(harmful), b.m.suspects.OneMore(harmful+1))
			}
			w := p.wave(contents)
			t.Log(line, " asked ", contents, " ended ", w)
			for content, servers := range w {
				if ended[content] >= quarantine.CrashesMost {
					late[content] += servers
				}
				ended[content] += servers
			}
			p.pass()
			p.pass()
		}
		for content, servers := range late {
			require.LessOrEqual(t, servers, 3, "seed %d, content %d, %d in all", seed, content, ended[content])
		}
	}
}

// TestAttemptGivenUpIsBlamed has a server crash after the attempt at it was given up: as it said
// nothing in good time, which is found out by a probe, or as the caller left, which is no
// reason for one, but counts when others break off with the server.
func TestAttemptGivenUpIsBlamed(t *testing.T) {
	for outcome, probes := range map[Outcome]bool{Hung: true, GivenUp: false, Moved: false} {
		b := newBench(t, 1)
		r := b.with(harmful)
		server := b.sent(b.arrive(r))
		other := b.with(harmful + 1)
		require.Equal(t, server, b.sent(b.arrive(other)))
		probe, probed := find[ProbeCmd](b.end(r.ID, outcome, false))
		require.Equal(t, probes, probed, outcome)
		b.pass(TickEvery)
		if !probes {
			probe, probed = find[ProbeCmd](b.end(other.ID, Broken, false))
			require.True(t, probed)
		}
		b.m.Update(ProbeMsg{Now: b.now, Server: probe.Server.ID, Refused: true})
		require.Equal(t, 1, b.m.suspects.Crashes(harmful), outcome)
	}
}

// TestCallersThatLeftLongAgo are not blamed for what a server does later.
func TestCallersThatLeftLongAgo(t *testing.T) {
	b := newBench(t, 1)
	for i := range leftMost + 10 {
		r := b.with(harmful + quarantine.Content(i))
		b.sent(b.arrive(r))
		b.end(r.ID, GivenUp, false)
	}
	require.Len(t, b.m.byServer["e0"].blamed.left, leftMost)
	b.pass(crashKnown + TickEvery)
	r := b.with(harmful + 1000)
	b.sent(b.arrive(r))
	b.crash(r.ID, ProbeMsg{Refused: true})
	require.Equal(t, 1, b.m.suspects.Crashes(harmful+1000))
	require.Zero(t, b.m.suspects.Crashes(harmful))
}
