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

// loadExchange carries out what the exchange of loads decides.
type loadExchange struct {
	self     string
	place    traffic.Place
	paths    map[string]traffic.Path // to the routers that are there
	over     *transport
	parts    Dependencies
	mu       sync.Mutex
	exchange *loads.Exchange
	heardAt  time.Duration // when the others' loads came last
	number   uint64        // of the last list that was sent; begins with the time of the start
}

func newLoadExchange(s Settings, over *transport, parts Dependencies) *loadExchange {
	return &loadExchange{
		self: s.Self.Address, number: uint64(time.Now().UnixNano()), parts: parts,
		over: over, place: s.place(),
		exchange: loads.NewExchange(loads.Router{Address: s.Self.Address, Hall: s.Hall, Region: s.Region, Power: s.Power}),
	}
}

// routers takes in which other routers are there.
func (l *loadExchange) routers(there []loads.Router) {
	paths := make(map[string]traffic.Path, len(there))
	for _, r := range there {
		paths[r.Address] = l.place.PathTo(traffic.Place{Hall: r.Hall, Region: r.Region})
	}
	l.mu.Lock()
	l.paths = paths
	l.mu.Unlock()
	l.update(loads.RoutersMsg{Routers: there})
}

// pathTo returns the path to another router; one that is not there any more counts as
// being in another hall of the region.
func (l *loadExchange) pathTo(address string) traffic.Path {
	if path, ok := l.paths[address]; ok {
		return path
	}
	return traffic.BetweenHalls
}

// send goes through the rounds until ctx ends.
func (l *loadExchange) send(ctx context.Context) error {
	ticker := time.NewTicker(loads.RoundInterval)
	defer ticker.Stop()
	var toldAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			tick := loads.TickMsg{Now: l.parts.Decisions.Now(), Own: l.parts.Decisions.Loads(), Copies: l.parts.Decisions.TakeCopies()}
			if tick.Now-toldAt >= loads.TeamsInterval-loads.RoundInterval/2 {
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
	return l.over.receive(ctx, func(body []byte) error {
		list, err := decodeLoadList(body)
		if err != nil {
			return err
		}
		l.update(list.unpack(l.parts.Decisions.Now()))
		return nil
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
		case loads.PeerTotalsCmd:
			l.take(cmd)
		}
	}
}

// take tells the machine what the others have.
func (l *loadExchange) take(others loads.PeerTotalsCmd) {
	now := l.parts.Decisions.Now()
	if l.heardAt > 0 {
		l.parts.Stats.LoadsAge.RecordDuration(now - l.heardAt)
	}
	l.heardAt = now
	l.parts.Decisions.Update(direct.PeerLoadsMsg{Now: now, Loads: others.Loads})
	if len(others.Copies) > 0 {
		l.parts.Decisions.Update(direct.PeerCopiesMsg{Now: now, Copies: others.Copies})
	}
	if others.HasTeams {
		l.parts.Decisions.Update(direct.PeerTeamsMsg{Now: now, Teams: others.Teams})
		if l.parts.Rollouts != nil {
			l.parts.Rollouts.Enqueue(rollout.PeerReportsMsg{Now: now, Reports: others.Rollouts})
		}
	}
}

func (l *loadExchange) write(cmd loads.SendCmd) {
	l.number++
	list := packList(cmd)
	list.From, list.Number = l.self, l.number
	if cmd.HasTeams {
		list.Hall = l.place.Hall
	}
	body, err := encodeLoadList(&list)
	if err != nil {
		l.parts.Stats.DatagramFailed()
		return
	}
	l.over.send(cmd.To, l.pathTo(cmd.To), body)
}
