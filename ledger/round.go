package ledger

import "github.com/croftvale/croftvale/fleet"

// tick sends a round of totals if one is due. The cost of a round grows with the
// number of teams that changed since the last round, not with all teams.
func (h *Hub) tick(msg TickMsg) []Command {
	if msg.Now-h.sentAt < msg.ShareEvery {
		return nil
	}
	h.sentAt = msg.Now
	for _, s := range h.halls {
		if s.finishWarmup(msg.Now) {
			h.markAllChanged()
		}
	}
	u := h.takeUpdate()
	return append(h.toPeers(u), h.toAgents(u)...)
}

// markAllChanged includes every team in the next round.
func (h *Hub) markAllChanged() {
	for i := range h.teams.names {
		h.changed.mark(i)
	}
}

// update holds the teams that a round covers and their totals.
type update struct {
	indexes []int
	totals  vector // by team index
}

// takeUpdate returns an update with the teams that changed since the last round,
// and starts collecting changes for the next one.
func (h *Hub) takeUpdate() update {
	u := update{indexes: h.changed.drain()}
	for i := range h.teams.names {
		u.totals.set(i, entry{})
	}
	for _, i := range u.indexes {
		u.totals[i] = h.total(i)
	}
	return u
}

// fullUpdate returns an update with every team, for a receiver that has been
// sent nothing yet.
func (h *Hub) fullUpdate() update {
	var u update
	for i := range h.teams.names {
		u.indexes = append(u.indexes, i)
		u.totals.set(i, h.total(i))
	}
	return u
}

// toPeers sends the totals of the halls that this hub serves to its paired hubs
// in other halls.
func (h *Hub) toPeers(u update) []Command {
	var cmds []Command
	for _, p := range h.peers {
		if !p.paired {
			continue
		}
		for _, hall := range h.hallNames {
			if hall != p.hall && h.mayReport(hall) {
				cmds = append(cmds, h.toPeer(p, hall, u)...)
			}
		}
	}
	return cmds
}

// mayReport reports whether this hub may send the totals of a hall: it serves
// agents of the hall and its warm-up has ended.
func (h *Hub) mayReport(hall fleet.Hall) bool {
	s := h.halls[hall]
	return s.linkedAgents > 0 && s.warmedUp
}

func (h *Hub) toPeer(p *peerLink, hall fleet.Hall, u update) []Command {
	if !p.sentAll[hall] {
		p.sentAll[hall] = true
		u = h.fullUpdate()
	}
	sent := p.sent[hall]
	s := h.halls[hall]
	rows := h.changedRows(u.indexes, &sent, s.at)
	p.sent[hall] = sent
	if len(rows) == 0 {
		return nil
	}
	return []Command{HallTotalsCmd{Peer: p.name, Hall: hall, Rows: rows}}
}

// toAgents sends each agent the fleet's totals without its own service. An agent
// is sent nothing until its hall's warm-up has ended and its own service is
// known. Otherwise it would count its own service twice.
func (h *Hub) toAgents(changed update) []Command {
	var cmds []Command
	for _, agent := range h.agents {
		own, known := h.incarnations[agent.source]
		if !known || !h.hallState(agent.hall).warmedUp {
			continue
		}
		u := changed
		if !agent.sentAll {
			agent.sentAll = true
			u = h.fullUpdate()
		}
		rows := h.changedRows(u.indexes, &agent.sent, func(i int) entry {
			e := u.totals[i]
			e.service -= own.service.at(i).service
			return e
		})
		if len(rows) > 0 {
			cmds = append(cmds, TotalsCmd{Agent: agent.source.Agent, Rows: rows})
		}
	}
	return cmds
}

// changedRows returns rows for the teams whose counters differ from those last
// sent, and records them as sent.
func (h *Hub) changedRows(indexes []int, sent *vector, at func(int) entry) []fleet.ServiceRow {
	var rows []fleet.ServiceRow
	for _, i := range indexes {
		e := at(i)
		if sent.at(i) == e {
			continue
		}
		sent.set(i, e)
		rows = append(rows, fleet.ServiceRow{Team: h.teams.names[i], Service: e.service, Lift: e.lift})
	}
	return rows
}
