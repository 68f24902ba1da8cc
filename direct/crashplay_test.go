package direct

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
)

// crashPlay is routers in memory, and servers that crash under some contents and are followed by
// others.
type crashPlay struct {
	fleet   []*harness
	random  *rand.Rand
	servers Directory
	crashed []string // servers that are to be followed by others
	ended   map[quarantine.Fingerprint]int
	content quarantine.Fingerprint // of the next request that does no harm
	asked   int                    // such requests
	refused int                    // of these, for what crashed servers
}

func newCrashPlay(t *testing.T, seed uint64) *crashPlay {
	p := &crashPlay{
		random: rand.New(rand.NewPCG(seed, 1)), servers: newDirectory(1, 12), ended: make(map[quarantine.Fingerprint]int), content: 1 << 32,
	}
	for range 4 {
		p.fleet = append(p.fleet, newHarness(t, 12))
	}
	return p
}

// ask has a request that crashes servers come to one router, and be tried as often as that allows.
func (p *crashPlay) ask(content quarantine.Fingerprint) {
	b := p.fleet[p.random.IntN(len(p.fleet))]
	r := b.with(content)
	cmds := b.arrive(r)
	for send, sent := findCmd[SendCmd](cmds); sent; send, sent = findCmd[SendCmd](cmds) {
		p.ended[content]++
		p.crashed = append(p.crashed, send.Server.ID)
		company := p.company(send.Server.ID)
		cmds = b.crash(r.ID, ProbeResultMsg{ConnRefused: true})
		p.breakOff(company)
	}
}

// harmless is a request that does no harm, at a router.
type harmless struct {
	at *harness
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
		send, sent := findCmd[SendCmd](b.arrive(r))
		switch {
		case sent && send.Server.ID == server:
			there = append(there, harmless{b, r})
		case sent:
			b.m.Update(FirstEventMsg{Now: b.now, ID: r.ID})
			b.end(r.ID, Done, false)
		}
	}
	return there
}

// breakOff has requests break off with their server; each is tried on as its router says, and now
// and then at a server that crashes too.
func (p *crashPlay) breakOff(company []harmless) {
	for _, h := range company {
		cmds := h.at.crash(h.r.ID, ProbeResultMsg{ConnRefused: true})
		for send, sent := findCmd[SendCmd](cmds); sent; send, sent = findCmd[SendCmd](cmds) {
			if p.random.IntN(4) > 0 {
				h.at.m.Update(FirstEventMsg{Now: h.at.now, ID: h.r.ID})
				h.at.end(h.r.ID, Done, false)
				break
			}
			p.crashed = append(p.crashed, send.Server.ID)
			cmds = h.at.crash(h.r.ID, ProbeResultMsg{ConnRefused: true})
		}
		if failed, ok := findCmd[FailCmd](cmds); ok && failed.Reason == ReasonQuarantined {
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
					to.m.Update(PeerReportMsg{Now: to.now, Peer: "x", Report: report})
				}
			}
		}
		for _, b := range p.fleet {
			b.advance(100 * time.Millisecond)
		}
	}
}

// copyOf is one of several requests of the same content, at a router.
type copyOf struct {
	at     *harness
	r      Request
	server string // that it was last sent to
}

// wave has copies of requests arrive at routers before any of them is answered, and end all servers
// that run them at the same moment; those that are tried on are the next to do so. It tells how many
// servers ended under each content.
func (p *crashPlay) wave(contents []quarantine.Fingerprint) map[quarantine.Fingerprint]int {
	var running []copyOf
	for _, content := range contents {
		b := p.fleet[p.random.IntN(len(p.fleet))]
		r := b.with(content)
		running = p.runs(running, copyOf{at: b, r: r}, b.arrive(r))
	}
	ended := make(map[quarantine.Fingerprint]int)
	for len(running) > 0 {
		p.endServers(running, ended)
		var next []copyOf
		for _, c := range running {
			next = p.runs(next, c, c.at.crash(c.r.ID, ProbeResultMsg{ConnRefused: true}))
		}
		running = next
	}
	return ended
}

// endServers ends the servers that run requests, and counts them by content.
func (p *crashPlay) endServers(running []copyOf, ended map[quarantine.Fingerprint]int) {
	type end struct {
		content quarantine.Fingerprint
		server  string
	}
	seen := make(map[end]bool)
	for _, c := range running {
		one := end{c.r.Fingerprint, c.server}
		if !seen[one] {
			seen[one] = true
			ended[c.r.Fingerprint]++
		}
		p.crashed = append(p.crashed, c.server)
	}
}

// runs adds a request to those that servers run, if some commands of its router bring it to one.
// Servers that have ended refuse its connection.
func (p *crashPlay) runs(running []copyOf, c copyOf, cmds []Cmd) []copyOf {
	for send, sent := findCmd[SendCmd](cmds); sent; send, sent = findCmd[SendCmd](cmds) {
		listed := slices.ContainsFunc(p.servers.Servers, func(s Server) bool { return s.ID == send.Server.ID })
		if listed && !slices.Contains(p.crashed, send.Server.ID) {
			c.server = send.Server.ID
			return append(running, c)
		}
		cmds = c.at.end(c.r.ID, Unsent, true)
	}
	return running
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
			p.ask(harmful + quarantine.Fingerprint(i%10))
			p.pass()
		}
		for content, ended := range p.ended {
			require.LessOrEqual(t, ended, quarantine.CrashThreshold+2, "seed %d, content %d", seed, content)
		}
		asked, refused = asked+p.asked, refused+p.refused
	}
	t.Logf("%d of %d others were refused for crashes", refused, asked)
	require.LessOrEqual(t, refused, asked/1000)
}

// TestCrashesTogetherStayFew has two requests that crash servers come at the same moments, a few
// copies of each, so that servers end under both and the one that ended more explains the other's. Of
// each at most three servers end once routers have told one another of the first three.
func TestCrashesTogetherStayFew(t *testing.T) {
	for seed := range uint64(200) {
		p := newCrashPlay(t, seed)
		ended, late := make(map[quarantine.Fingerprint]int), make(map[quarantine.Fingerprint]int)
		for range 30 {
			var contents []quarantine.Fingerprint
			for content := harmful; content < harmful+2; content++ {
				for range p.random.IntN(4) {
					contents = append(contents, content)
				}
			}
			for content, servers := range p.wave(contents) {
				if ended[content] >= quarantine.CrashThreshold {
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

// TestCrashesStayFewOverRestarts has routers start anew, one after another, between the crashes under
// a content that is asked for alone: a router that started after two crashes ended two servers more, as
// it was told only of what is barred. No fourth server ends where they have one and a half seconds to tell.
func TestCrashesStayFewOverRestarts(t *testing.T) {
	for seed := range uint64(20) {
		p := newCrashPlay(t, seed)
		for i := range 20 {
			p.ask(harmful)
			p.pass()
			p.restart(t, i%len(p.fleet))
			for range 3 {
				p.pass()
			}
		}
		require.Equal(t, quarantine.CrashThreshold, p.ended[harmful], "seed %d", seed)
	}
}

// restart replaces a router by one that knows nothing.
func (p *crashPlay) restart(t *testing.T, router int) {
	p.fleet[router] = newHarness(t, 12)
	p.fleet[router].m.Update(ServersMsg{Now: p.fleet[router].now, Directory: p.servers})
}
