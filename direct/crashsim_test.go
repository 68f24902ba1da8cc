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
type crashSim struct {
	routers         []*harness
	random          *rand.Rand
	servers         Directory
	crashed         []string // servers that are to be followed by others
	crashes         map[quarantine.Fingerprint]int
	nextFingerprint quarantine.Fingerprint // of the next request that does no harm
	harmlessSent    int                    // such requests
	harmlessRefused int                    // of these, for what crashed servers
}

func newCrashSim(t *testing.T, seed uint64) *crashSim {
	p := &crashSim{
		random: rand.New(rand.NewPCG(seed, 1)), servers: newDirectory(1, 12), crashes: make(map[quarantine.Fingerprint]int), nextFingerprint: 1 << 32,
	}
	for range 4 {
		p.routers = append(p.routers, newHarness(t, 12))
	}
	return p
}

// ask has a request that crashes servers come to one router, and be tried as often as that allows.
func (p *crashSim) sendCrashing(content quarantine.Fingerprint) {
	b := p.routers[p.random.IntN(len(p.routers))]
	r := b.requestWith(content)
	cmds := b.arrive(r)
	for send, sent := findCmd[SendCmd](cmds); sent; send, sent = findCmd[SendCmd](cmds) {
		p.crashes[content]++
		p.crashed = append(p.crashed, send.Server.ID)
		harmless := p.startHarmless(send.Server.ID)
		cmds = b.breakAttempt(r.ID, ProbeResultMsg{ConnRefused: true})
		p.breakAttempts(harmless)
	}
}

// harmless is a request that does no harm, at a router.
type harmlessRequest struct {
	router *harness
	r      Request
}

// company starts requests at all routers, and returns those that a server runs; the others end
// well.
func (p *crashSim) startHarmless(server string) []harmlessRequest {
	var running []harmlessRequest
	for range 30 {
		p.nextFingerprint++
		p.harmlessSent++
		b := p.routers[p.random.IntN(len(p.routers))]
		r := b.requestWith(p.nextFingerprint)
		send, sent := findCmd[SendCmd](b.arrive(r))
		switch {
		case sent && send.Server.ID == server:
			running = append(running, harmlessRequest{b, r})
		case sent:
			b.m.Update(FirstEventMsg{Now: b.now, ID: r.ID})
			b.end(r.ID, Done, false)
		}
	}
	return running
}

// breakOff has requests break off with their server; each is tried on as its router says, and now
// and then at a server that crashes too.
func (p *crashSim) breakAttempts(requests []harmlessRequest) {
	for _, h := range requests {
		cmds := h.router.breakAttempt(h.r.ID, ProbeResultMsg{ConnRefused: true})
		for send, sent := findCmd[SendCmd](cmds); sent; send, sent = findCmd[SendCmd](cmds) {
			if p.random.IntN(4) > 0 {
				h.router.m.Update(FirstEventMsg{Now: h.router.now, ID: h.r.ID})
				h.router.end(h.r.ID, Done, false)
				break
			}
			p.crashed = append(p.crashed, send.Server.ID)
			cmds = h.router.breakAttempt(h.r.ID, ProbeResultMsg{ConnRefused: true})
		}
		if failed, ok := findCmd[FailCmd](cmds); ok && failed.Reason == ReasonQuarantined {
			p.harmlessRefused++
		}
	}
}

// pass lets half a second pass: servers that crashed are followed by others, and routers tell one
// another five times, of which a third is lost.
func (p *crashSim) pass() {
	p.servers.Revision++
	for i := range p.servers.Servers {
		if s := &p.servers.Servers[i]; slices.Contains(p.crashed, s.ID) {
			s.ID += "'"
		}
	}
	p.crashed = nil
	for _, b := range p.routers {
		b.m.Update(ServersMsg{Now: b.now, Directory: p.servers})
	}
	for range 5 {
		for i, from := range p.routers {
			report := from.m.Report(from.now)
			for j, to := range p.routers {
				if i != j && p.random.IntN(3) > 0 {
					to.m.Update(PeerReportMsg{Now: to.now, Peer: "x", Report: report})
				}
			}
		}
		for _, b := range p.routers {
			b.advance(100 * time.Millisecond)
		}
	}
}

// copyOf is one of several requests of the same content, at a router.
type requestCopy struct {
	router *harness
	r      Request
	server string // that it was last sent to
}

// wave has copies of requests arrive at routers before any of them is answered, and end all servers
// that run them at the same moment; those that are tried on are the next to do so. It tells how many
// servers ended under each content.
func (p *crashSim) crashTogether(contents []quarantine.Fingerprint) map[quarantine.Fingerprint]int {
	var running []requestCopy
	for _, content := range contents {
		b := p.routers[p.random.IntN(len(p.routers))]
		r := b.requestWith(content)
		running = p.appendRunning(running, requestCopy{router: b, r: r}, b.arrive(r))
	}
	crashes := make(map[quarantine.Fingerprint]int)
	for len(running) > 0 {
		p.crashServers(running, crashes)
		var next []requestCopy
		for _, c := range running {
			next = p.appendRunning(next, c, c.router.breakAttempt(c.r.ID, ProbeResultMsg{ConnRefused: true}))
		}
		running = next
	}
	return crashes
}

// endServers ends the servers that run requests, and counts them by content.
func (p *crashSim) crashServers(running []requestCopy, crashes map[quarantine.Fingerprint]int) {
	type crashKey struct {
		content quarantine.Fingerprint
		server  string
	}
	seen := make(map[crashKey]bool)
	for _, c := range running {
		crash := crashKey{c.r.Fingerprint, c.server}
		if !seen[crash] {
			seen[crash] = true
			crashes[c.r.Fingerprint]++
		}
		p.crashed = append(p.crashed, c.server)
	}
}

// runs adds a request to those that servers run, if some commands of its router bring it to one.
// Servers that have ended refuse its connection.
func (p *crashSim) appendRunning(running []requestCopy, c requestCopy, cmds []Cmd) []requestCopy {
	for send, sent := findCmd[SendCmd](cmds); sent; send, sent = findCmd[SendCmd](cmds) {
		listed := slices.ContainsFunc(p.servers.Servers, func(s Server) bool { return s.ID == send.Server.ID })
		if listed && !slices.Contains(p.crashed, send.Server.ID) {
			c.server = send.Server.ID
			return append(running, c)
		}
		cmds = c.router.end(c.r.ID, Unsent, true)
	}
	return running
}

// TestCrashesStayFew has ten requests crash servers, each every half second at some router, among
// others that break off with them and sometimes once more. Routers tell one another of it, and a
// third of that is lost: of each one no more than two servers end beyond the three that are
// allowed, and one in a thousand of the others is refused for crashes at the most.
func TestCrashesStayFew(t *testing.T) {
	sent, refused := 0, 0
	for seed := range uint64(20) {
		p := newCrashSim(t, seed)
		for i := range 100 {
			p.sendCrashing(crashingFingerprint + quarantine.Fingerprint(i%10))
			p.pass()
		}
		for content, crashes := range p.crashes {
			require.LessOrEqual(t, crashes, quarantine.CrashThreshold+2, "seed %d, content %d", seed, content)
		}
		sent, refused = sent+p.harmlessSent, refused+p.harmlessRefused
	}
	t.Logf("%d of %d others were refused for crashes", refused, sent)
	require.LessOrEqual(t, refused, sent/1000)
}

// TestCrashesTogetherStayFew has two requests that crash servers come at the same moments, a few
// copies of each, so that servers end under both and the one that ended more explains the other's. Of
// each at most three servers end once routers have told one another of the first three.
func TestCrashesTogetherStayFew(t *testing.T) {
	for seed := range uint64(200) {
		p := newCrashSim(t, seed)
		crashes, late := make(map[quarantine.Fingerprint]int), make(map[quarantine.Fingerprint]int)
		for range 30 {
			var contents []quarantine.Fingerprint
			for content := crashingFingerprint; content < crashingFingerprint+2; content++ {
				for range p.random.IntN(4) {
					contents = append(contents, content)
				}
			}
			for content, servers := range p.crashTogether(contents) {
				if crashes[content] >= quarantine.CrashThreshold {
					late[content] += servers
				}
				crashes[content] += servers
			}
			p.pass()
			p.pass()
		}
		for content, servers := range late {
			require.LessOrEqual(t, servers, 3, "seed %d, content %d, %d in all", seed, content, crashes[content])
		}
	}
}

// TestCrashesStayFewOverRestarts has routers start anew, one after another, between the crashes under
// a content that is asked for alone: a router that started after two crashes ended two servers more, as
// it was told only of what is barred. No fourth server ends where they have one and a half seconds to tell.
func TestCrashesStayFewOverRestarts(t *testing.T) {
	for seed := range uint64(20) {
		p := newCrashSim(t, seed)
		for i := range 20 {
			p.sendCrashing(crashingFingerprint)
			p.pass()
			p.restart(t, i%len(p.routers))
			for range 3 {
				p.pass()
			}
		}
		require.Equal(t, quarantine.CrashThreshold, p.crashes[crashingFingerprint], "seed %d", seed)
	}
}

// restart replaces a router by one that knows nothing.
func (p *crashSim) restart(t *testing.T, router int) {
	p.routers[router] = newHarness(t, 12)
	p.routers[router].m.Update(ServersMsg{Now: p.routers[router].now, Directory: p.servers})
}
