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

// loadExchange executes the commands of a loads.Exchange.
type loadExchange struct {
	self         string
	place        traffic.Place
	paths        map[string]traffic.Path // by address, to the live routers
	conn         *transport
	deps         Dependencies
	mu           sync.Mutex
	exchange     *loads.Exchange
	lastReceived time.Duration // when the last peer totals were received
	number       uint64        // of the last list sent; starts at the router's start time in nanoseconds since 1970
}

func newLoadExchange(s Settings, conn *transport, deps Dependencies) *loadExchange {
	return &loadExchange{
		self: s.Self.Address, number: uint64(time.Now().UnixNano()), deps: deps,
		conn: conn, place: s.place(),
		exchange: loads.NewExchange(loads.Router{Address: s.Self.Address, Hall: s.Hall, Region: s.Region, Power: s.Power}),
	}
}

// setRouters sets the live routers.
func (l *loadExchange) setRouters(alive []loads.Router) {
	paths := make(map[string]traffic.Path, len(alive))
	for _, r := range alive {
		paths[r.Address] = l.place.PathTo(traffic.Place{Hall: r.Hall, Region: r.Region})
	}
	l.mu.Lock()
	l.paths = paths
	l.mu.Unlock()
	l.update(loads.RoutersMsg{Routers: alive})
}

// pathTo returns the path to another router. One that is no longer alive counts as being in another
// hall of the region.
func (l *loadExchange) pathTo(address string) traffic.Path {
	if path, ok := l.paths[address]; ok {
		return path
	}
	return traffic.BetweenHalls
}

// send starts a round every RoundInterval until ctx ends.
func (l *loadExchange) send(ctx context.Context) error {
	ticker := time.NewTicker(loads.RoundInterval)
	defer ticker.Stop()
	var teamsSentAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			tick := loads.TickMsg{Now: l.deps.StateMachine.Now(), Own: l.deps.StateMachine.Loads(), Copies: l.deps.StateMachine.TakeCopies()}
			if tick.Now-teamsSentAt >= loads.TeamsInterval-loads.RoundInterval/2 {
				teamsSentAt = tick.Now
				tick.HasTeams, tick.Teams = true, l.deps.StateMachine.Teams()
				if l.deps.Rollouts != nil {
					tick.Rollouts = l.deps.Rollouts.Reports()
				}
			}
			l.update(tick)
		}
	}
}

// receive handles lists until ctx ends.
func (l *loadExchange) receive(ctx context.Context) error {
	return l.conn.receive(ctx, func(body []byte) error {
		list, err := decodeLoadList(body)
		if err != nil {
			return err
		}
		l.update(list.unpack(l.deps.StateMachine.Now()))
		return nil
	})
}

// update passes a message to the exchange and executes its commands.
func (l *loadExchange) update(msg loads.Msg) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, cmd := range l.exchange.Update(msg) {
		switch cmd := cmd.(type) {
		case loads.SendCmd:
			l.sendList(cmd)
		case loads.PeerTotalsCmd:
			l.deliver(cmd)
		}
	}
}

// deliver passes the totals of the other routers to the state machine, and their rollout reports to
// the rollouts.
func (l *loadExchange) deliver(others loads.PeerTotalsCmd) {
	now := l.deps.StateMachine.Now()
	if l.lastReceived > 0 {
		l.deps.Stats.LoadsAge.RecordDuration(now - l.lastReceived)
	}
	l.lastReceived = now
	l.deps.StateMachine.Update(direct.PeerLoadsMsg{Now: now, Loads: others.Loads})
	if len(others.Copies) > 0 {
		l.deps.StateMachine.Update(direct.PeerCopiesMsg{Now: now, Copies: others.Copies})
	}
	if others.HasTeams {
		l.deps.StateMachine.Update(direct.PeerTeamsMsg{Now: now, Teams: others.Teams})
		if l.deps.Rollouts != nil {
			l.deps.Rollouts.Enqueue(rollout.PeerReportsMsg{Now: now, Reports: others.Rollouts})
		}
	}
}

func (l *loadExchange) sendList(cmd loads.SendCmd) {
	l.number++
	list := packList(cmd)
	list.From, list.Number = l.self, l.number
	if cmd.HasTeams {
		list.Hall = l.place.Hall
	}
	body, err := encodeLoadList(&list)
	if err != nil {
		l.deps.Stats.DatagramFailed()
		return
	}
	l.conn.send(cmd.To, l.pathTo(cmd.To), body)
}
