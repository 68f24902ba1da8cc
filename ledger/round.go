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
		if s.settle(msg.Now) {
			h.noteAll()
		}
	}
	news := h.news()
	return append(h.toPeers(news), h.toAgents(news)...)
}

// noteAll lets the next round look at every team.
func (h *Hub) noteAll() {
	for i := range h.index.teams {
		h.changed.note(i)
	}
}

// news is the teams that a round looks at, with their totals.
type news struct {
	places []int
	totals vector // by place
}

func (h *Hub) news() news {
	n := news{places: h.changed.take()}
	for i := range h.index.teams {
		n.totals.set(i, entry{})
	}
	for _, i := range n.places {
		n.totals[i] = h.total(i)
	}
	return n
}

// everything is the news for one who has heard nothing yet.
func (h *Hub) everything() news {
	var n news
	for i := range h.index.teams {
		n.places = append(n.places, i)
		n.totals.set(i, h.total(i))
	}
	return n
}

// toPeers sends the halls served here to the hubs that pair with this one.
func (h *Hub) toPeers(n news) []Command {
	var cmds []Command
	for _, p := range h.peers {
		if !p.pair {
			continue
		}
		for _, hall := range h.order {
			if hall != p.hall && h.speaksOf(hall) {
				cmds = append(cmds, h.toPeer(p, hall, n)...)
			}
		}
	}
	return cmds
}

// speaksOf tells whether this hub may speak of a hall.
func (h *Hub) speaksOf(hall fleet.Hall) bool {
	s := h.halls[hall]
	return s.linked > 0 && s.settled
}

func (h *Hub) toPeer(p *peerLink, hall fleet.Hall, n news) []Command {
	if !p.whole[hall] {
		p.whole[hall] = true
		n = h.everything()
	}
	sent := p.sent[hall]
	s := h.halls[hall]
	rows := h.fresh(n.places, &sent, s.at)
	p.sent[hall] = sent
	if len(rows) == 0 {
		return nil
	}
	return []Command{HallTotalsCmd{Peer: p.name, Hall: hall, Rows: rows}}
}

// toAgents sends each agent the totals less its own part. An agent whose hall
// has not settled, or whose own part is not known yet, would count itself
// twice, so it waits.
func (h *Hub) toAgents(n news) []Command {
	var cmds []Command
	for _, a := range h.agents {
		own, known := h.lives[a.source]
		if !known || !h.hallState(a.hall).settled {
			continue
		}
		heard := n
		if !a.whole {
			a.whole = true
			heard = h.everything()
		}
		rows := h.fresh(heard.places, &a.sent, func(i int) entry {
			e := heard.totals[i]
			e.service -= own.service.at(i).service
			return e
		})
		if len(rows) > 0 {
			cmds = append(cmds, TotalsCmd{Agent: a.source.Agent, Rows: rows})
		}
	}
	return cmds
}

// fresh spells the places whose counters differ from what was sent, and notes
// that they are sent now.
func (h *Hub) fresh(places []int, sent *vector, at func(int) entry) []fleet.ServiceRow {
	var rows []fleet.ServiceRow
	for _, i := range places {
		e := at(i)
		if sent.at(i) == e {
			continue
		}
		sent.set(i, e)
		rows = append(rows, fleet.ServiceRow{Team: h.index.teams[i], Service: e.service, Lift: e.lift})
	}
	return rows
}
