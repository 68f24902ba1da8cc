package ledger

import "github.com/croftvale/croftvale/fleet"

// tick sends a round of totals when one is due. A round costs what has changed
// since the last one, not what is known.
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

// markAllChanged lets the next round look at every team.
func (h *Hub) markAllChanged() {
	for i := range h.teams.teams {
		h.changed.mark(i)
	}
}

// update is the teams that a round looks at, with their totals.
type update struct {
	indexes []int
	totals  vector // by place
}

func (h *Hub) takeUpdate() update {
	u := update{indexes: h.changed.drain()}
	for i := range h.teams.teams {
		u.totals.set(i, entry{})
	}
	for _, i := range u.indexes {
		u.totals[i] = h.total(i)
	}
	return u
}

// fullUpdate is the news for one who has heard nothing yet.
func (h *Hub) fullUpdate() update {
	var u update
	for i := range h.teams.teams {
		u.indexes = append(u.indexes, i)
		u.totals.set(i, h.total(i))
	}
	return u
}

// toPeers sends the halls served here to the hubs that pair with this one.
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

// mayReport tells whether this hub may speak of a hall.
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

// toAgents sends each agent the totals less its own part. An agent whose hall
// has not settled, or whose own part is not known yet, would count itself
// twice, so it waits.
func (h *Hub) toAgents(n update) []Command {
	var cmds []Command
	for _, agent := range h.agents {
		own, known := h.incarnations[agent.source]
		if !known || !h.hallState(agent.hall).warmedUp {
			continue
		}
		u := n
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

// changedRows spells the places whose counters differ from what was sent, and notes
// that they are sent now.
func (h *Hub) changedRows(indexes []int, sent *vector, at func(int) entry) []fleet.ServiceRow {
	var rows []fleet.ServiceRow
	for _, i := range indexes {
		e := at(i)
		if sent.at(i) == e {
			continue
		}
		sent.set(i, e)
		rows = append(rows, fleet.ServiceRow{Team: h.teams.teams[i], Service: e.service, Lift: e.lift})
	}
	return rows
}
