package link

import (
	"sync"

	"github.com/croftvale/croftvale/wire"
)

// Traffic counts the messages of one type and their bytes.
type Traffic struct {
	Type      string `json:"type"`
	SentCount int64  `json:"sent_count"`
	SentBytes int64  `json:"sent_bytes"`
	ReadCount int64  `json:"read_count"`
	ReadBytes int64  `json:"read_bytes"`
}

// Meter counts control messages and bytes by type. The zero value is ready
// for use, and a nil Meter counts nothing.
type Meter struct {
	mu    sync.Mutex
	types [256]Traffic
}

func (m *Meter) sent(t wire.Type, bytes int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.types[t].SentCount++
	m.types[t].SentBytes += int64(bytes)
}

func (m *Meter) read(t wire.Type, bytes int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.types[t].ReadCount++
	m.types[t].ReadBytes += int64(bytes)
}

// CountGrant counts the bytes that the state of the remaining queue adds to the headers of
// one granted request.
func (m *Meter) CountGrant(bytes int) { m.sent(wire.TypeGrant, bytes) }

// Snapshot returns the types that have traffic, ordered by their numbers.
func (m *Meter) Snapshot() []Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Traffic
	for i, t := range m.types {
		if t.SentCount+t.ReadCount == 0 {
			continue
		}
		t.Type = wire.Type(i).String()
		out = append(out, t)
	}
	return out
}
