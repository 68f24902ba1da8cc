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

// heartbeats sends and receives heartbeats.
type heartbeats struct {
	peers      *Peers
	deps       Dependencies
	conn       sender
	power      float64
	startNanos int64
	seq        atomic.Uint64
	rounds     uint64                    // rounds of scheduled heartbeats
	lastSent   atomic.Pointer[heartbeat] // last round's heartbeat, without the fields that only rounds send
	wake       chan struct{}             // requests a round ahead of schedule
}

func newHeartbeats(s Settings, conn sender, p *Peers, deps Dependencies) *heartbeats {
	return &heartbeats{peers: p, deps: deps, conn: conn, power: s.Power, startNanos: s.startNanos, wake: make(chan struct{}, 1)}
}

// sendNow sends a round of heartbeats ahead of schedule.
func (h *heartbeats) sendNow() { notify(h.wake) }

// notify sends on a channel unless a signal is already pending. It does not block.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// send sends heartbeats until ctx ends.
func (h *heartbeats) send(ctx context.Context) error {
	ticker := time.NewTicker(minHeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-h.wake:
		}
		h.sendRound()
		ticker.Reset(h.peers.heartbeatInterval())
	}
}

// sendRound sends one heartbeat to some other routers.
func (h *heartbeats) sendRound() {
	report := h.deps.StateMachine.Report()
	targets, members := h.peers.startRound()
	h.rounds++
	if h.rounds%membersEveryRounds != 1 {
		members = nil
	}
	b := heartbeat{
		Address: h.peers.self, Hall: h.peers.place.Hall, Region: h.peers.place.Region, Power: h.power,
		Shed: h.deps.Pressure.ShedFraction(), Yields: h.deps.Pressure.Yields(),
		SourceLost: h.deps.Feeds.SourceFailing(), Life: h.startNanos,
		Headroom: float32(report.Headroom), SuspectsDigest: report.SuspectsDigest.Barred,
		Extension: heartbeatExtension{
			Answers: true, NearlyBarred: report.SuspectsDigest.NearlyBarred, Origins: true,
			Parts: report.HasParts, BarredParts: report.PartsDigest.Barred, NearlyBarredParts: report.PartsDigest.NearlyBarred,
		},
	}
	last := b
	h.lastSent.Store(&last)
	near, far := b, b
	near.Members, near.Suspects = members, report.Suspects
	far.Suspects = graveReports(report.Suspects)
	near.Extension.PartSuspects = packPartReports(report.PartSuspects)
	far.Extension.PartSuspects = packPartReports(graveReports(report.PartSuspects))
	if h.rounds%farMembersEveryRounds == 1 {
		far = near
	}
	seq, revisions := h.seq.Add(1), h.deps.Feeds.Revisions()
	near.Seq, near.Knows = seq, revisions
	far.Seq, far.Knows = seq, revisions
	h.sendEach(targets, near, far)
}

// graveReports returns the grave reports, which are the only ones sent to other regions in most
// rounds.
func graveReports(all []quarantine.Report) []quarantine.Report {
	return slices.DeleteFunc(slices.Clone(all), func(r quarantine.Report) bool { return !r.Grave })
}

// sendEach sends near to the targets in this region and far to those in other regions, each with
// its gossip.
func (h *heartbeats) sendEach(targets []string, near, far heartbeat) {
	nearBody, farBody := h.encode(near), h.encode(far)
	for _, address := range targets {
		path := h.peers.PathTo(address)
		b, body := near, nearBody
		if path == traffic.BetweenRegions {
			b, body = far, farBody
		}
		if b.Extension.News = h.peers.gossip(address); b.Extension.News != nil {
			body = h.encode(b)
		}
		h.conn.send(address, path, body)
	}
}

// encode encodes a heartbeat as a datagram. If that fails, it counts the failure and returns nil.
func (h *heartbeats) encode(b heartbeat) []byte {
	body, err := encodeHeartbeat(b)
	if err != nil {
		h.deps.Stats.DatagramFailed()
		return nil
	}
	return body
}

// sendExtra sends a heartbeat outside the rounds, such as a probe or the answer to one.
func (h *heartbeats) sendExtra(address string, extension heartbeatExtension) {
	last := h.lastSent.Load()
	if last == nil || address == h.peers.self {
		return // without a round, no other router has learned yet that this one answers probes
	}
	b := *last
	b.Seq, b.Knows = h.seq.Add(1), h.deps.Feeds.Revisions()
	b.Extension = last.Extension
	b.Extension.Ask, b.Extension.AnswerTo, b.Extension.AskOf = extension.Ask, extension.AnswerTo, extension.AskOf
	b.Extension.News = h.peers.gossip(address)
	h.conn.send(address, h.peers.PathTo(address), h.encode(b))
}

// receive handles one heartbeat, and answers it if it is a probe.
func (h *heartbeats) receive(body []byte) error {
	b, err := decodeHeartbeat(body)
	if err != nil {
		return err
	}
	h.execute(h.peers.onHeartbeat(b))
	if b.Extension.Ask {
		h.sendExtra(cmp.Or(b.Extension.AnswerTo, b.Address), heartbeatExtension{})
	}
	if b.Extension.AskOf != "" {
		h.sendExtra(b.Extension.AskOf, heartbeatExtension{Ask: true, AnswerTo: b.Address})
	}
	return nil
}

// runDetector ticks the failure detector until ctx ends.
func (h *heartbeats) runDetector(ctx context.Context) error {
	ticker := time.NewTicker(detector.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			h.execute(h.peers.tick())
		}
	}
}

// execute runs the commands of the failure detector.
func (h *heartbeats) execute(cmds []detector.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case detector.ProbeCmd:
			h.sendExtra(cmd.To, heartbeatExtension{Ask: true})
		case detector.IndirectProbeCmd:
			h.sendExtra(cmd.Via, heartbeatExtension{AskOf: cmd.Target})
		case detector.RefuteCmd:
			h.sendNow()
		}
	}
}
