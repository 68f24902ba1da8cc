package origin

import (
	"slices"
	"time"
)

// hold is a stream that begins once most routers that may be asked hold its record. Otherwise it might go on at the
// only listed version if its router is lost.
type hold struct {
	id      uint64 // of the HoldMsg
	key     Key
	members int           // of the fleet
	routers []Router      // other live routers when it was asked for
	heardAt time.Duration // when this router has heard of the others, which it may not have if it has just started
	expires time.Duration
}

// startHold sends a record to the routers that may be asked for it, and asks them whether they hold it.
func (m *Machine) startHold(msg HoldMsg) {
	m.records.put(msg.Now, msg.Key, entry{version: pendingVersion, expiresAt: msg.Now + clampLifetime(msg.Lifetime), service: msg.Service, shared: true})
	m.confirm(msg.Now, msg.Key)
	c := m.confirmations[msg.Key]
	if c == nil || !msg.Contact.Majority {
		m.endHold(msg.Now, msg.ID, msg.Key, false)
		return
	}
	questions := m.sendUnconfirmed(msg.Now, msg.Key, c)
	m.flush() // the questions follow the records
	for _, q := range questions {
		m.emit(q)
	}
	h := hold{id: msg.ID, key: msg.Key, members: msg.Contact.Members, routers: m.routers, heardAt: msg.Now, expires: msg.Now + msg.Timeout}
	if msg.Contact.Starting {
		h.heardAt += startingWait
		h.expires = max(h.expires, h.heardAt)
	}
	m.holds = append(m.holds, h)
	m.advanceHolds(msg.Now)
}

// advanceHolds ends the holds whose records are confirmed, and those that have taken too long. A router that is lost
// meanwhile still counts, as it may be this one that is cut off.
func (m *Machine) advanceHolds(now time.Duration) {
	m.holds = slices.DeleteFunc(m.holds, func(h hold) bool {
		held := now >= h.heardAt && m.isHeldByMost(&h, h.routers) && m.isHeldByMost(&h, m.routers)
		if !held && now < h.expires {
			return false
		}
		m.endHold(now, h.id, h.key, held)
		return true
	})
}

// endHold answers a HoldMsg. A stream that may not begin needs no confirmation any more.
func (m *Machine) endHold(now time.Duration, id uint64, key Key, held bool) {
	if e, ok := m.records.get(now, key); !held && ok && e.version == pendingVersion {
		m.endConfirmation(key)
	}
	m.emit(HeldCmd{ID: id, Held: held})
}

// isHeldByMost reports whether those of some routers that look a stream up find its record, if most of the routers that
// they ask answer.
func (m *Machine) isHeldByMost(h *hold, routers []Router) bool {
	c := m.confirmations[h.key]
	if c == nil {
		return false
	}
	home := ofRegion(m.self.Region, routers)
	inHome := asked(h.key, home)
	needed := len(inHome)/2 + 1
	if len(inHome) == len(home) && h.members <= len(routers)+1 {
		needed = (len(inHome) + 1) / 2 // whoever looks it up is one of them
	}
	if len(home) > 0 && c.holders(inHome) < needed {
		return false
	}
	for region, others := range byRegion(routers) {
		if inRegion := asked(h.key, others); region != m.self.Region && 2*c.holders(inRegion) <= len(inRegion) {
			return false
		}
	}
	return true
}

// holders returns how many of some routers hold the record.
func (c *confirmation) holders(routers []*Router) int {
	n := 0
	for _, r := range routers {
		if start, holds := c.held[r.Address]; holds && start == r.Start {
			n++
		}
	}
	return n
}
