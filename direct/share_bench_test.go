package direct

import (
	"fmt"
	"testing"

	"github.com/croftvale/croftvale/loads"
)

// BenchmarkShare measures what working out the shares costs, by the number of teams.
func BenchmarkShare(b *testing.B) {
	for _, teams := range []int{30, 540} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) { benchmarkShares(b, teams, nil) })
	}
}

// BenchmarkShareRegions does so where two teams in three are bound, in six ways.
func BenchmarkShareRegions(b *testing.B) {
	restrictions := [][]string{nil, nil, nil, {"east"}, {"west"}, {"north"}, {"east", "west"}, {"west", "north"}, {"east", "north"}}
	for _, teams := range []int{30, 540} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) { benchmarkShares(b, teams, restrictions) })
	}
}

func benchmarkShares(b *testing.B, teams int, restrictions [][]string) {
	m := NewMachine(Options{Zone: "a"})
	config := Config{Services: []Service{{Name: "llm", Engine: &Engine{Slots: 64, KVTokens: 500_000}}}, Limits: Limits{TokensPerSecond: 400_000}}
	uses := make([]loads.TeamUse, teams)
	for i := range teams {
		uses[i] = loads.TeamUse{Team: fmt.Sprint("team", i), Offered: float32(4e7/teams) / float32(i%40+1), Served: float32(200_000 / teams)}
		if len(restrictions) > 0 {
			config.Teams = append(config.Teams, Team{Name: uses[i].Team, Regions: restrictions[i%len(restrictions)]})
		}
	}
	now := shareInterval
	m.Update(ConfigMsg{Now: now, Config: config})
	halls := map[string]string{"a": "east", "b": "west", "c": "north"}
	m.Update(HallRegionsMsg{Now: now, Halls: halls})
	dir := Directory{Revision: 1}
	for i := range 45 {
		dir.Servers = append(dir.Servers, Server{ID: fmt.Sprint("e", i), Service: "llm", Zone: string("abc"[i%3]), Slots: 64})
	}
	m.Update(ServersMsg{Now: now, Directory: dir})
	m.Update(PeerTeamsMsg{Now: now, Teams: uses})
	for b.Loop() {
		now += shareInterval
		m.updateShares(now)
	}
}
