package direct

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
)

// crashSim simulates routers in memory, and servers that crash under some fingerprints and are
// replaced.
type crashSim struct {
	routers         []*harness
	random          *rand.Rand
	servers         Directory
	crashed         []string // servers that are to be replaced
	crashes         map[quarantine.Fingerprint]int
	nextFingerprint quarantine.Fingerprint // of the next harmless request
	harmlessSent    int                    // harmless requests sent
	nextID          uint8                  // number of routers started so far
	harmlessRefused int                    // of these, refused because of crashes
}

func newCrashSim(t *testing.T, seed uint64) *crashSim {
	sim := &crashSim{
		random: rand.New(rand.NewPCG(seed, 1)), servers: newDirectory(1, 12), crashes: make(map[quarantine.Fingerprint]int), nextFingerprint: 1 << 32,
	}
	for i := range 4 {
		sim.routers = append(sim.routers, sim.newRouter(t, i))
	}
	return sim
}

// newRouter returns router i without state. No two routers have requests with the same ID, from which
// the parts of their prompts follow.
func (sim *crashSim) newRouter(t *testing.T, i int) *harness {
	h := newHarness(t, 12)
	sim.nextID++
	h.lastID = RequestID(i+1)<<40 + RequestID(sim.nextID)<<32
	return h
}

// sendCrashing sends a crashing request to one router and crashes a server at each attempt.
func (sim *crashSim) sendCrashing(fingerprint quarantine.Fingerprint) {
	h := sim.routers[sim.random.IntN(len(sim.routers))]
	r := h.requestWith(fingerprint)
	cmds := h.arrive(r)
	for send, sent := findCmd[SendCmd](cmds); sent; send, sent = findCmd[SendCmd](cmds) {
		sim.crashes[fingerprint]++
		sim.crashed = append(sim.crashed, send.Server.ID)
		harmless := sim.startHarmless(send.Server.ID)
		cmds = h.breakAttempt(r.ID, ProbeResultMsg{ConnRefused: true})
		sim.breakAttempts(harmless)
	}
}

// harmlessRequest is a request at a router that crashes no server.
type harmlessRequest struct {
	router *harness
	r      Request
}

// startHarmless starts harmless requests at random routers and returns those that the given
// server runs. The others are completed.
func (sim *crashSim) startHarmless(server string) []harmlessRequest {
	var running []harmlessRequest
	for range 30 {
		sim.nextFingerprint++
		sim.harmlessSent++
		h := sim.routers[sim.random.IntN(len(sim.routers))]
		r := h.requestWith(sim.nextFingerprint)
		send, sent := findCmd[SendCmd](h.arrive(r))
		switch {
		case sent && send.Server.ID == server:
			running = append(running, harmlessRequest{h, r})
		case sent:
			h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID})
			h.end(r.ID, Done, false)
		}
	}
	return running
}

// breakAttempts breaks the attempts of requests because their server has crashed. Each is
// retried as its router decides; one retry in four is at a server that crashes too.
func (sim *crashSim) breakAttempts(requests []harmlessRequest) {
	for _, h := range requests {
		cmds := h.router.breakAttempt(h.r.ID, ProbeResultMsg{ConnRefused: true})
		for send, sent := findCmd[SendCmd](cmds); sent; send, sent = findCmd[SendCmd](cmds) {
			if sim.random.IntN(4) > 0 {
				h.router.m.Update(FirstEventMsg{Now: h.router.now, ID: h.r.ID})
				h.router.end(h.r.ID, Done, false)
				break
			}
			sim.crashed = append(sim.crashed, send.Server.ID)
			cmds = h.router.breakAttempt(h.r.ID, ProbeResultMsg{ConnRefused: true})
		}
		if failed, ok := findCmd[FailCmd](cmds); ok && failed.Reason == ReasonQuarantined {
			sim.harmlessRefused++
		}
	}
}

// pass advances time by half a second. Crashed servers are replaced, and the routers exchange
// reports five times, of which a third is lost.
func (sim *crashSim) pass() {
	sim.servers.Revision++
	for i := range sim.servers.Servers {
		if s := &sim.servers.Servers[i]; slices.Contains(sim.crashed, s.ID) {
			s.ID += "'"
		}
	}
	sim.crashed = nil
	for _, h := range sim.routers {
		h.m.Update(ServersMsg{Now: h.now, Directory: sim.servers})
	}
	for range 5 {
		for i, from := range sim.routers {
			report := from.m.Report(from.now)
			for j, to := range sim.routers {
				if i != j && sim.random.IntN(3) > 0 {
					to.m.Update(PeerReportMsg{Now: to.now, Peer: "x", Report: report})
				}
			}
		}
		for _, h := range sim.routers {
			h.advance(100 * time.Millisecond)
		}
	}
}

// requestCopy is one of several requests with the same fingerprint, at a router.
type requestCopy struct {
	router *harness
	r      Request
	server string // of the last attempt
}

// crashTogether sends copies of requests to routers before any of them gets a response, crashes
// all their servers at the same time, and does the same with the retries. It returns the number
// of crashed servers by fingerprint.
func (sim *crashSim) crashTogether(fingerprints []quarantine.Fingerprint) map[quarantine.Fingerprint]int {
	var running []requestCopy
	for _, fingerprint := range fingerprints {
		h := sim.routers[sim.random.IntN(len(sim.routers))]
		r := h.requestWith(fingerprint)
		running = sim.appendRunning(running, requestCopy{router: h, r: r}, h.arrive(r))
	}
	crashes := make(map[quarantine.Fingerprint]int)
	for len(running) > 0 {
		sim.crashServers(running, crashes)
		var next []requestCopy
		for _, c := range running {
			next = sim.appendRunning(next, c, c.router.breakAttempt(c.r.ID, ProbeResultMsg{ConnRefused: true}))
		}
		running = next
	}
	return crashes
}

// crashServers crashes the servers of running requests and counts them by fingerprint.
func (sim *crashSim) crashServers(running []requestCopy, crashes map[quarantine.Fingerprint]int) {
	type crashKey struct {
		fingerprint quarantine.Fingerprint
		server      string
	}
	seen := make(map[crashKey]bool)
	for _, c := range running {
		crash := crashKey{c.r.Fingerprint, c.server}
		if !seen[crash] {
			seen[crash] = true
			crashes[c.r.Fingerprint]++
		}
		sim.crashed = append(sim.crashed, c.server)
	}
}

// appendRunning appends a request to the running ones if its router's commands send it to a
// live server. Crashed servers refuse the connection.
func (sim *crashSim) appendRunning(running []requestCopy, c requestCopy, cmds []Cmd) []requestCopy {
	for send, sent := findCmd[SendCmd](cmds); sent; send, sent = findCmd[SendCmd](cmds) {
		listed := slices.ContainsFunc(sim.servers.Servers, func(s Server) bool { return s.ID == send.Server.ID })
		if listed && !slices.Contains(sim.crashed, send.Server.ID) {
			c.server = send.Server.ID
			return append(running, c)
		}
		cmds = c.router.end(c.r.ID, Unsent, true)
	}
	return running
}

// TestCrashesStayFew sends one of ten crashing requests every half second to a random router,
// among others that break with them and are sometimes sent to another crashing server. A third
// of the reports between routers is lost. Each crashing request crashes at most two servers
// more than the three that are allowed, and at most one in a thousand of the others is refused
// because of crashes.
func TestCrashesStayFew(t *testing.T) {
	sent, refused := 0, 0
	for seed := range uint64(20) {
		sim := newCrashSim(t, seed)
		for i := range 100 {
			sim.sendCrashing(crashingFingerprint + quarantine.Fingerprint(i%10))
			sim.pass()
		}
		for fingerprint, crashes := range sim.crashes {
			require.LessOrEqual(t, crashes, quarantine.CrashThreshold+2, "seed %d, fingerprint %d", seed, fingerprint)
		}
		sent, refused = sent+sim.harmlessSent, refused+sim.harmlessRefused
	}
	t.Logf("%d of %d harmless requests were refused because of crashes", refused, sent)
	require.LessOrEqual(t, refused, sent/1000)
}

// TestCrashesTogetherStayFew sends a few copies of two crashing requests at the same time, so
// that servers crash while they run both, and the request with more crashes explains those of
// the other. Once the routers have reported the first three crashes of a request, it crashes at
// most three more servers.
func TestCrashesTogetherStayFew(t *testing.T) {
	for seed := range uint64(200) {
		sim := newCrashSim(t, seed)
		crashes, late := make(map[quarantine.Fingerprint]int), make(map[quarantine.Fingerprint]int)
		for range 30 {
			var fingerprints []quarantine.Fingerprint
			for fingerprint := crashingFingerprint; fingerprint < crashingFingerprint+2; fingerprint++ {
				for range sim.random.IntN(4) {
					fingerprints = append(fingerprints, fingerprint)
				}
			}
			for fingerprint, servers := range sim.crashTogether(fingerprints) {
				if crashes[fingerprint] >= quarantine.CrashThreshold {
					late[fingerprint] += servers
				}
				crashes[fingerprint] += servers
			}
			sim.pass()
			sim.pass()
		}
		for fingerprint, servers := range late {
			require.LessOrEqual(t, servers, 3, "seed %d, fingerprint %d, %d in total", seed, fingerprint, crashes[fingerprint])
		}
	}
}

// TestCrashesStayFewOverRestarts restarts the routers one by one between the crashes of a
// single request. If routers sent a restarted one only barred fingerprints, a router that
// started after two crashes would let two more servers crash. No fourth server crashes if the
// routers have one and a half seconds to exchange reports.
func TestCrashesStayFewOverRestarts(t *testing.T) {
	for seed := range uint64(20) {
		sim := newCrashSim(t, seed)
		for i := range 20 {
			sim.sendCrashing(crashingFingerprint)
			sim.pass()
			sim.restart(t, i%len(sim.routers))
			for range 3 {
				sim.pass()
			}
		}
		require.Equal(t, quarantine.CrashThreshold, sim.crashes[crashingFingerprint], "seed %d", seed)
	}
}

// restart replaces a router by one without state.
func (sim *crashSim) restart(t *testing.T, router int) {
	sim.routers[router] = sim.newRouter(t, router)
	sim.routers[router].m.Update(ServersMsg{Now: sim.routers[router].now, Directory: sim.servers})
}
