package agent

import (
	"time"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/once"
	"github.com/croftvale/croftvale/wire"
)

// setKeyAgents updates the key table with the agents that share the keys of each
// work of this server: those whose servers run that work.
func (c *core) setKeyAgents(b bundle.Bundle) {
	own, ok := findServer(b, c.settings.Name)
	if !ok {
		return
	}
	for _, w := range own.Works {
		c.keys.Update(once.PoolMsg{Now: c.now(), Work: w, Agents: b.ServersOf(w)})
	}
}

// reserveKey reserves a key for a router and sends it the verdict.
func (c *core) reserveKey(r *routerLink, m wire.KeyReserve) {
	key, ok := keyOf(r.conn, m.Work, m.Digest)
	if !ok {
		return
	}
	msg := once.ReserveMsg{Now: c.now(), Key: key, Holder: holderOf(r.conn, m.Request)}
	if m.Made != 0 {
		msg.CreatedAt = time.UnixMilli(m.Made)
	}
	v := c.keys.Update(msg)
	r.conn.Send(wire.KeyVerdict{Request: m.Request, Verdict: uint8(v)})
}

func (c *core) releaseKey(r *routerLink, m wire.KeyRelease) {
	if key, ok := keyOf(r.conn, m.Work, m.Digest); ok {
		c.keys.Update(once.ReleaseMsg{Now: c.now(), Key: key, Holder: holderOf(r.conn, m.Request)})
	}
}

func keyOf(conn *link.Conn, work wire.Number, digest []byte) (once.Key, bool) {
	name := conn.InNames.Text(work)
	k := once.Key{Work: fleet.Work(name)}
	if name == "" || copy(k.Digest[:], digest) != len(k.Digest) {
		return once.Key{}, false
	}
	return k, true
}

func holderOf(conn *link.Conn, request uint64) once.Holder {
	return once.Holder{Router: conn.Peer.Name, Incarnation: conn.Peer.Incarnation, Request: request}
}
