package process

import (
	"time"

	"github.com/croftvale/croftvale/link"
)

// Pulse is how often a process gives a sign of life on a quiet link. The zero
// value is that of a process without links.
type Pulse struct{ every time.Duration }

// Adjust follows the number of links. It returns whether the time between two
// signs has changed, so that the peers must be told.
func (p *Pulse) Adjust(links int) bool {
	every := link.HeartbeatInterval(links)
	changed := every != p.every
	p.every = every
	return changed
}

// Every returns the time between two signs.
func (p *Pulse) Every() time.Duration { return p.every }

// Milliseconds returns the same as a Heartbeat carries it.
func (p *Pulse) Milliseconds() uint32 { return uint32(p.every / time.Millisecond) }
