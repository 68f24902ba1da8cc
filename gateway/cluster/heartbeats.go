package cluster

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/gateway/detector"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/quarantine"
)

// heartbeats are sent to the other routers and taken from them.
type heartbeats struct {
	peers  *Peers
	parts  Dependencies
	over   sender
	power  float64
	life   int64
	seq    atomic.Uint64
	rounds uint64                    // of heartbeats to some others
	last   atomic.Pointer[heartbeat] // of the last round, without what only rounds tell
	poke   chan struct{}             // this router has something newer
}

func newHeartbeats(s Settings, over sender, p *Peers, parts Dependencies) *heartbeats {
	return &heartbeats{peers: p, parts: parts, over: over, power: s.Power, life: s.life, poke: make(chan struct{}, 1)}
}

// changed tells the peers at once that this router has something newer.
func (h *heartbeats) changed() { notify(h.poke) }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// send sends heartbeats until ctx ends.
func (h *heartbeats) send(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-h.poke:
		}
		h.beat()
		ticker.Reset(h.peers.every())
	}
}

// beat sends one heartbeat to some others.
func (h *heartbeats) beat() {
	said := h.parts.Decisions.Report()
	targets, members := h.peers.round()
	h.rounds++
	if h.rounds%membersIn != 1 {
		members = nil
	}
	b := heartbeat{
		Address: h.peers.self, Hall: h.peers.place.Hall, Region: h.peers.place.Region, Power: h.power,
		Shed: h.parts.Pressure.ShedFraction(), Yields: h.parts.Pressure.Yields(),
		SourceLost: h.parts.Feeds.SourceFailing(), Life: h.life,
		Headroom: float32(said.Headroom), SuspectsDigest: said.SuspectsDigest.Barred,
		Extension: heartbeatExtension{Answers: true, NearlyBarred: said.SuspectsDigest.NearlyBarred},
	}
	last := b
	h.last.Store(&last)
	near, far := b, b
	near.Members, near.Suspects = members, said.Suspects
	far.Suspects = graveOf(said.Suspects)
	if h.rounds%farMembersIn == 1 {
		far = near
	}
	seq, knows := h.seq.Add(1), h.parts.Feeds.Revisions()
	near.Seq, near.Knows = seq, knows
	far.Seq, far.Knows = seq, knows
	h.sendEach(targets, near, far)
}

// graveOf returns the reports that other regions are told.
func graveOf(all []quarantine.Report) []quarantine.Report {
	return slices.DeleteFunc(slices.Clone(all), func(r quarantine.Report) bool { return !r.Grave })
}

// sendEach sends a heartbeat to some routers, as it is for those of this region and of others.
func (h *heartbeats) sendEach(targets []string, near, far heartbeat) {
	nearBody, farBody := h.encode(near), h.encode(far)
	for _, address := range targets {
		path := h.peers.PathTo(address)
		b, body := near, nearBody
		if path == traffic.BetweenRegions {
			b, body = far, farBody
		}
		if b.Extension.News = h.peers.news(address); b.Extension.News != nil {
			body = h.encode(b)
		}
		h.over.send(address, path, body)
	}
}

// encode writes a heartbeat as a datagram, an empty one where that fails.
func (h *heartbeats) encode(b heartbeat) []byte {
	body, err := encodeHeartbeat(b)
	if err != nil {
		h.parts.Stats.DatagramFailed()
		return nil
	}
	return body
}

// ask sends a heartbeat beside the rounds, which asks for something.
func (h *heartbeats) ask(address string, extension heartbeatExtension) {
	last := h.last.Load()
	if last == nil || address == h.peers.self {
		return // this router has told nobody that it answers
	}
	b := *last
	b.Seq, b.Knows = h.seq.Add(1), h.parts.Feeds.Revisions()
	b.Extension = extension
	b.Extension.Answers, b.Extension.NearlyBarred = true, last.Extension.NearlyBarred
	b.Extension.News = h.peers.news(address)
	h.over.send(address, h.peers.PathTo(address), h.encode(b))
}

// take takes one heartbeat, and answers where it asks for that.
func (h *heartbeats) take(body []byte) error {
	b, err := decodeHeartbeat(body)
	if err != nil {
		return err
	}
	h.follow(h.peers.hear(b))
	if b.Extension.Ask {
		h.ask(cmp.Or(b.Extension.AnswerTo, b.Address), heartbeatExtension{})
	}
	if b.Extension.AskOf != "" {
		h.ask(b.Extension.AskOf, heartbeatExtension{Ask: true, AnswerTo: b.Address})
	}
	return nil
}

// detect finds out which routers are there until ctx ends.
func (h *heartbeats) detect(ctx context.Context) error {
	ticker := time.NewTicker(detector.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			h.follow(h.peers.tick())
		}
	}
}

// follow does what the detector wants.
func (h *heartbeats) follow(cmds []detector.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case detector.ProbeCmd:
			h.ask(cmd.To, heartbeatExtension{Ask: true})
		case detector.IndirectProbeCmd:
			h.ask(cmd.Via, heartbeatExtension{AskOf: cmd.Target})
		case detector.RefuteCmd:
			h.changed()
		}
	}
}
