package link

import (
	"context"
	"net"
	"time"

	"github.com/croftvale/croftvale/secure"
	"github.com/croftvale/croftvale/wire"
)

const (
	// DefaultTimeout is how long a peer that gives a sign of life every
	// HeartbeatEvery may be silent before its link is cut.
	DefaultTimeout = maxMissedHeartbeats * MinHeartbeatInterval
	// MinHeartbeatInterval is the time between two signs of life on a quiet link of a
	// process with few links.
	MinHeartbeatInterval = time.Second
	// linksPerSecond is how many quiet links a process keeps alive each second;
	// one with more links does so less often, and says how often.
	heartbeatsPerSecond = 100
	// missed is how many signs of life must be missing.
	maxMissedHeartbeats = 3
	// outgoing is how many messages may wait for the writer.
	sendQueueSize = 1024
)

// DialFunc opens a network connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options is what links of one process have in common.
type Options struct {
	Hello      func() wire.Hello              // what this process says first, at the time of connecting
	Events     chan<- Event                   // bounded; readers wait for room, which slows the peer down
	Timeout    time.Duration                  // DefaultTimeout where zero
	Secure     *secure.Store                  // nil for plain TCP
	AcceptRole wire.Role                      // the role that may connect here; any where empty
	Dial       DialFunc                       // net.Dialer where nil
	OnEnd      func(remote string, err error) // hears why accepted links ended; may be nil
	Meter      *Meter                         // counts messages and bytes; may be nil
}

// HeartbeatInterval returns the time between two signs of life on a quiet link of a
// process with a number of links.
func HeartbeatInterval(links int) time.Duration {
	return max(MinHeartbeatInterval, time.Duration(links)*time.Second/heartbeatsPerSecond)
}

func (o Options) timeout() time.Duration {
	if o.Timeout == 0 {
		return DefaultTimeout
	}
	return o.Timeout
}

func (o Options) dial() DialFunc {
	if o.Dial != nil {
		return o.Dial
	}
	d := &net.Dialer{Timeout: o.timeout()}
	return d.DialContext
}
