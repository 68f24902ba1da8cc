package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxConfirmations bounds the streams whose records are sent until they are confirmed. Further ones are
	// sent once.
	maxConfirmations = 4096
	// confirmDelay is the time after which a record that was not confirmed is sent again. It doubles with each
	// round, up to maxConfirmDelay.
	confirmDelay    = queryRetryDelay
	maxConfirmDelay = time.Second
)

// confirmation tells which routers hold the record of a stream whose version is or was unknown. A router that
// lacks it may take the stream for one of the only listed version, so that the record is sent until all that
// may be asked hold it, also to those heard of later.
type confirmation struct {
	number uint64           // of the questions of the last round
	asked  map[string]int64 // routers asked in the last round: their starts, by address
	held   map[string]int64 // routers that hold the record, likewise
	nextAt time.Duration
	delay  time.Duration
}

// confirm begins to send a record until it is confirmed.
func (m *Machine) confirm(now time.Duration, key Key) {
	c := m.confirmations[key]
	if c == nil {
		if len(m.confirmations) >= maxConfirmations {
			return
		}
		c = &confirmation{}
		m.confirmations[key] = c
	}
	c.held = make(map[string]int64)
	c.nextAt, c.delay = now+confirmDelay, confirmDelay
	if !slices.Contains(m.unconfirmed, key) {
		m.unconfirmed = append(m.unconfirmed, key)
	}
}

// confirmAgain checks all confirmations after a change of the routers.
func (m *Machine) confirmAgain() {
	m.unconfirmed = slices.Sorted(maps.Keys(m.confirmations))
	for _, c := range m.confirmations {
		c.nextAt, c.delay = 0, confirmDelay
	}
}

// advanceConfirmations sends records that are due to the routers which have not confirmed them, and asks these
// whether they hold them.
func (m *Machine) advanceConfirmations(now time.Duration) {
	due := 0
	var questions []QueryCmd
	m.unconfirmed = slices.DeleteFunc(m.unconfirmed, func(key Key) bool {
		c := m.confirmations[key]
		switch {
		case c == nil:
			return true
		case now < c.nextAt || due == resharedPerTick:
			return false
		}
		due++
		sent := m.sendUnconfirmed(now, key, c)
		questions = append(questions, sent...)
		return len(sent) == 0
	})
	m.flush() // the questions follow the records
	for _, q := range questions {
		m.emit(q)
	}
}

// sendUnconfirmed queues a record for the routers that have not confirmed it, and returns questions for them.
func (m *Machine) sendUnconfirmed(now time.Duration, key Key, c *confirmation) []QueryCmd {
	e, ok := m.records.get(now, key)
	if !ok || e.delivered || e.version == contradicted {
		m.endConfirmation(key)
		return nil
	}
	delete(m.confirming, c.number)
	m.lastNumber++
	c.number, c.asked = m.lastNumber, make(map[string]int64)
	c.nextAt, c.delay = now+c.delay, min(2*c.delay, maxConfirmDelay)
	var questions []QueryCmd
	for _, r := range m.askedAnywhere(key) {
		if start, holds := c.held[r.Address]; holds && start == r.Start {
			continue
		}
		c.asked[r.Address] = r.Start
		m.queue(now, r.Address, key, e)
		questions = append(questions, QueryCmd{To: r.Address, Query: Query{Number: c.number, Service: e.service, Key: key}})
	}
	if len(questions) > 0 {
		m.confirming[c.number] = key
	}
	return questions
}

// handleConfirmation takes in the answer to a question of advanceConfirmations, and reports whether it is one.
func (m *Machine) handleConfirmation(msg AnswerMsg) bool {
	key, ok := m.confirming[msg.Answer.Number]
	if !ok {
		return false
	}
	c := m.confirmations[key]
	start, asked := c.asked[msg.From]
	e, known := m.records.get(msg.Now, key)
	if asked && known && msg.Answer.Found && (e.version == pendingVersion || msg.Answer.Version == e.version || !isUnknown(msg.Answer.Version)) {
		c.held[msg.From] = start
		m.advanceHolds(msg.Now)
	}
	return true
}

// endConfirmation ceases to send a record.
func (m *Machine) endConfirmation(key Key) {
	if c := m.confirmations[key]; c != nil {
		delete(m.confirming, c.number)
		delete(m.confirmations, key)
	}
}

// expireConfirmations drops the confirmations of expired records.
func (m *Machine) expireConfirmations(now time.Duration) {
	for key := range m.confirmations {
		if _, ok := m.records.get(now, key); !ok {
			m.endConfirmation(key)
		}
	}
}

// askedAnywhere returns the routers of all regions that may be asked for a record, by address.
func (m *Machine) askedAnywhere(key Key) []*Router {
	routers := asked(key, m.home)
	for _, inRegion := range byRegion(m.routers) {
		for _, r := range asked(key, inRegion) {
			if !contains(routers, r) {
				routers = append(routers, r)
			}
		}
	}
	slices.SortFunc(routers, func(a, b *Router) int { return cmp.Compare(a.Address, b.Address) })
	return routers
}
