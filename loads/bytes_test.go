package loads

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// wireList is a list as the gateway may encode it. Fields that are used only with team usage are
// left out of other lists.
type wireList struct {
	From   string
	Kind   Kind
	Number uint64
	Base   uint64
	Loads  []Load
	Copies []Copy
	Teams  *wireTeams
}

type wireTeams struct {
	Hall, Region string
	Teams        []wireTeam
	Rollouts     []struct{}
}

// wireTeam is the gateway's encoding of a TeamUse.
type wireTeam struct {
	Team                    string
	Offered, Recent, Served uint32
}

// bytesOf returns the size of a message as the gateway encodes it.
func bytesOf(message any) int {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		panic(err)
	}
	return out.Len()
}

func bytesOfList(from string, msg ListMsg) int {
	list := wireList{From: from, Kind: msg.Kind, Number: 1 << 60, Base: msg.Base, Loads: msg.Loads, Copies: msg.Copies}
	if msg.HasTeams {
		list.Teams = &wireTeams{Hall: msg.Hall, Region: msg.Region}
		for _, u := range msg.Teams {
			list.Teams.Teams = append(list.Teams.Teams, wireTeam{u.Team, uint32(u.Offered / 64), uint32(u.Recent / 64), uint32(u.Served / 64)})
		}
	}
	return bytesOf(&list)
}

// simulatedFleet is a fleet whose traffic is counted. Each router has requests at some servers of
// its region, reports the usage of some teams, and makes some copies.
type simulatedFleet struct {
	name                             string
	routers, halls, regions, servers int
}

const (
	serversPerRouter = 50 // servers at which each router has requests
	changesPerRound  = 1  // loads that change per round: 40 requests begin or end per second
	teamsPerRouter   = 20
	copiesPerSecond  = 20 // made by each router per second
)

var simulatedFleets = []simulatedFleet{
	{"29 routers", 29, 3, 1, 60},
	{"24 routers", 24, 6, 3, 60},
	{"100 routers", 100, 6, 3, 1000},
	{"300 routers", 300, 6, 3, 3000},
	{"670 routers", 670, 13, 4, 10000},
}

// traffic is the number of bytes that a fleet sends per second.
type traffic struct {
	mean, busiest                float64 // sent by one router
	betweenHalls, betweenRegions float64 // whole fleet; betweenHalls counts halls of the same region
	largest                      int     // bytes of the largest list
}

func (t traffic) String() string {
	return fmt.Sprintf("kB/s: router %.1f, busiest %.1f, between halls %.1f, between regions %.1f; largest list %d B",
		t.mean/1e3, t.busiest/1e3, t.betweenHalls/1e3, t.betweenRegions/1e3, t.largest)
}

// simulate returns the traffic of a fleet. Without regions, routers have no regions, all digests
// are full, and copies are sent in heartbeats.
func (f simulatedFleet) simulate(regions bool) traffic {
	s, region := f.build(regions)
	perSecond := float64(time.Second / TeamsInterval)
	var out traffic
	sent := make(map[string]float64)
	f.rounds(s, 12, regions)
	s.onSend = func(from string, fl packet) {
		n := bytesOfList(from, fl.msg)
		bytes := perSecond * float64(n)
		sent[from] += bytes
		out.add(bytes, s.hallOf(from) == s.hallOf(fl.to), region[from] == region[fl.to])
		out.largest = max(out.largest, n)
	}
	f.rounds(s, int(TeamsInterval/RoundInterval), regions)
	if !regions {
		f.addHeartbeats(&out, sent)
	}
	for _, bytes := range sent {
		out.mean += bytes / float64(f.routers)
		out.busiest = max(out.busiest, bytes)
	}
	return out
}

func (t *traffic) add(bytes float64, sameHall, sameRegion bool) {
	switch {
	case !sameRegion:
		t.betweenRegions += bytes
	case !sameHall:
		t.betweenHalls += bytes
	}
}

// addHeartbeats adds the traffic of copies in heartbeats. It is computed, not simulated: at most
// 100 heartbeats per second to 24 random routers, each copy sent for 700 ms, at most 64 copies per
// heartbeat.
func (f simulatedFleet) addHeartbeats(out *traffic, sent map[string]float64) {
	targets := min(f.routers-1, 24)
	heartbeatsPerSecond := min(float64(targets)*10, 100)
	row := float64(bytesOf(&Copy{Part: 1 << 63, Server: 1 << 31}))
	each := heartbeatsPerSecond * row * min(copiesPerSecond*copyTTL.Seconds(), 64)
	for from := range sent {
		sent[from] += each
	}
	all := each * float64(f.routers)
	out.betweenRegions += all * (1 - 1/float64(f.regions))
	out.betweenHalls += all * (1/float64(f.regions) - 1/float64(f.halls))
}

func (f simulatedFleet) build(regions bool) (*lossyNetwork, map[string]string) {
	locations := make([]string, f.routers)
	region := make(map[string]string)
	for i := range locations {
		hall := i % f.halls
		region[fmt.Sprint("r", i)] = fmt.Sprint("region", hall%f.regions)
		locations[i] = fmt.Sprintf("region%d/hall%d", hall%f.regions, hall)
		if !regions {
			locations[i] = fmt.Sprintf("/hall%d", hall)
		}
	}
	s := newLossyNetwork(1, locations...)
	for i, r := range s.routers {
		s.own[r.Address] = f.loads(s.random, i%f.halls%f.regions)
	}
	s.connectAll()
	return s, region
}

// loads returns the loads of a router at servers of its region.
func (f simulatedFleet) loads(random *rand.Rand, region int) []Load {
	serversInRegion := f.servers / f.regions
	var out []Load
	for _, i := range random.Perm(serversInRegion)[:min(serversInRegion, serversPerRouter)] {
		one := Load{Server: ServerKey(fmt.Sprint("server", region, "-", i)), Running: 1 + random.Int32N(8)}
		if random.IntN(2) == 0 {
			one.Pending = random.Int32N(4000)
		}
		out = append(out, one)
	}
	return sum(out)
}

// churn changes some of a router's loads.
func (f simulatedFleet) churn(random *rand.Rand, own []Load) {
	for range changesPerRound {
		one := &own[random.IntN(len(own))]
		one.Running = 1 + random.Int32N(8)
		one.Pending = random.Int32N(2) * random.Int32N(4000)
	}
}

// rounds runs rounds in which no list is lost.
func (f simulatedFleet) rounds(s *lossyNetwork, rounds int, regions bool) {
	var teams []TeamUse
	for i := range teamsPerRouter {
		teams = append(teams, TeamUse{Team: fmt.Sprint("team-", i), Offered: 5e3, Recent: 5e3, Served: 4e3})
	}
	for range rounds {
		s.now += RoundInterval
		s.rounds++
		for i, r := range s.routers {
			f.churn(s.random, s.own[r.Address])
			tick := TickMsg{Now: s.now, Own: slices.Clone(s.own[r.Address])}
			if s.rounds%int(TeamsInterval/RoundInterval) == 0 {
				tick.HasTeams, tick.Teams = true, teams
			}
			if every := int(time.Second / RoundInterval / copiesPerSecond); regions && (s.rounds+i)%every == 0 {
				tick.Copies = []Copy{{Part: s.random.Uint64(), Server: s.random.Uint32()}}
			}
			s.update(r.Address, tick)
		}
		for i := 0; i < len(s.inFlight); i++ {
			if !regions {
				s.inFlight[i].msg.Base = 0
			}
			s.transmit(i)
		}
		s.inFlight = s.inFlight[:0]
	}
}

// TestRegionBytes checks that regions reduce the bytes between them to at most a sixth, and that
// copies take fewer bytes in lists than in heartbeats.
func TestRegionBytes(t *testing.T) {
	for _, f := range simulatedFleets[:2] {
		without, with := f.simulate(false), f.simulate(true)
		t.Logf("%s without regions: %v", f.name, without)
		t.Logf("%s with regions:    %v", f.name, with)
		require.LessOrEqual(t, with.betweenRegions, without.betweenRegions/6)
		require.Less(t, with.mean, without.mean)
	}
}

// BenchmarkBytes logs the traffic of fleets of several sizes.
func BenchmarkBytes(b *testing.B) {
	for _, f := range simulatedFleets {
		for name, regions := range map[string]bool{"without regions": false, "with regions": true} {
			b.Run(f.name+" "+name, func(b *testing.B) {
				for b.Loop() {
					b.Log(f.simulate(regions))
				}
			})
		}
	}
}
