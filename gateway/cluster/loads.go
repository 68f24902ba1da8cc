package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/rollout"
)

// loadList is the datagram of one list of loads.
type loadList struct {
	From   string
	Hall   string // only where the list tells of teams
	Kind   loads.Kind
	Number uint64
	Loads  []loads.Load
	// HasTeams says that the list tells of teams.
	HasTeams bool
	Teams    []teamRow
	// Rollouts come with teams, where roll-outs are on.
	Rollouts []rolloutRow
}

// loadExchange carries out what the exchange of loads decides.
type loadExchange struct {
	self     string
	hall     string
	over     *transport
	parts    Parts
	mu       sync.Mutex
	exchange *loads.Exchange
	heardAt  time.Duration // when the others' loads came last
	number   uint64        // of the last list that was sent; begins with the time of the start
}

func newLoadExchange(s Settings, over *transport, parts Parts) *loadExchange {
	return &loadExchange{
		self: s.Self.Address, hall: s.Hall, number: uint64(time.Now().UnixNano()), parts: parts,
		over:     over,
		exchange: loads.NewExchange(loads.Router{Address: s.Self.Address, Hall: s.Hall, Power: s.Power}),
	}
}

// routers takes in which other routers are there.
func (l *loadExchange) routers(there []loads.Router) { l.update(loads.RoutersMsg{Routers: there}) }

// send goes through the rounds until ctx ends.
func (l *loadExchange) send(ctx context.Context) error {
	ticker := time.NewTicker(loads.Every)
	defer ticker.Stop()
	var toldAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			tick := loads.TickMsg{Now: l.parts.Decisions.Now(), Own: l.parts.Decisions.Loads()}
			if tick.Now-toldAt >= loads.TeamsEvery-loads.Every/2 {
				toldAt = tick.Now
				tick.HasTeams, tick.Teams = true, l.parts.Decisions.Teams()
				if l.parts.Rollouts != nil {
					tick.Rollouts = l.parts.Rollouts.Reports()
				}
			}
			l.update(tick)
		}
	}
}

// receive takes lists until ctx ends.
func (l *loadExchange) receive(ctx context.Context) error {
	return l.over.receive(ctx, func(body []byte) {
		var list loadList
		if decode(body, &list) == nil {
			l.update(loads.ListMsg{
				Now: l.parts.Decisions.Now(), From: list.From, Hall: list.Hall, Kind: list.Kind, Number: list.Number, Loads: list.Loads,
				HasTeams: list.HasTeams, Teams: unpackTeams(list.Teams), Rollouts: unpackRollouts(list.Rollouts),
			})
		}
	})
}

// update tells the exchange something and does what it wants done.
func (l *loadExchange) update(msg loads.Msg) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, cmd := range l.exchange.Update(msg) {
		switch cmd := cmd.(type) {
		case loads.SendCmd:
			l.write(cmd)
		case loads.OthersCmd:
			l.take(cmd)
		}
	}
}

// take tells the machine what the others have.
func (l *loadExchange) take(others loads.OthersCmd) {
	now := l.parts.Decisions.Now()
	if l.heardAt > 0 {
		l.parts.Stats.LoadsAge.RecordDuration(now - l.heardAt)
	}
	l.heardAt = now
	l.parts.Decisions.Update(direct.LoadsMsg{Now: now, Loads: others.Loads})
	if others.HasTeams {
		l.parts.Decisions.Update(direct.TeamsMsg{Now: now, Teams: others.Teams})
		if l.parts.Rollouts != nil {
			l.parts.Rollouts.Tell(rollout.OthersMsg{Now: now, Reports: others.Rollouts})
		}
	}
}

func (l *loadExchange) write(cmd loads.SendCmd) {
	l.number++
	list := loadList{From: l.self, Kind: cmd.Kind, Number: l.number, Loads: cmd.Loads, HasTeams: cmd.HasTeams}
	if cmd.HasTeams {
		list.Hall, list.Teams, list.Rollouts = l.hall, packTeams(cmd.Teams), packRollouts(cmd.Rollouts)
	}
	body, err := encode(&list)
	if err != nil {
		l.parts.Stats.DatagramFailed()
		return
	}
	// Aggregators tell those of other halls; all else stays within the hall.
	path := traffic.WithinHall
	if cmd.Kind == loads.Sum {
		path = traffic.BetweenHalls
	}
	l.over.send(cmd.To, path, body)
}
