package link

import (
	"context"
	"net"
	"time"

	"github.com/croftvale/croftvale/secure"
	"github.com/croftvale/croftvale/wire"
)

const (
	// DefaultTimeout is how long a peer that sends a heartbeat every
	// MinHeartbeatInterval may be silent before its link is closed.
	DefaultTimeout = maxMissedHeartbeats * MinHeartbeatInterval
	// MinHeartbeatInterval is the time between two heartbeats on an idle link of a
	// process with few links.
	MinHeartbeatInterval = time.Second
	// maxHeartbeatsPerSecond is the largest number of heartbeats that a process sends per
	// second. With more idle links it sends them less often, and states the interval in
	// each.
	maxHeartbeatsPerSecond = 100
	// maxMissedHeartbeats is the number of missing heartbeats that closes a link.
	maxMissedHeartbeats = 3
	// sendQueueSize is the number of messages that may wait for the writer.
	sendQueueSize = 1024
)

// DialFunc opens a network connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options holds what all links of a process have in common.
type Options struct {
	Hello      func() wire.Hello              // returns the first message to send; called for each connection
	Events     chan<- Event                   // bounded; a link waits while it is full, which slows the peer down
	Timeout    time.Duration                  // DefaultTimeout if zero
	Secure     *secure.Store                  // nil for plain TCP
	AcceptRole wire.Role                      // the role that may connect here; any if empty
	Dial       DialFunc                       // net.Dialer if nil
	OnEnd      func(remote string, err error) // receives the error of each accepted link that fails; may be nil
	Meter      *Meter                         // counts messages and bytes; may be nil
}

// HeartbeatInterval returns the time between two heartbeats on an idle link of a process
// with the given number of links.
func HeartbeatInterval(links int) time.Duration {
	return max(MinHeartbeatInterval, time.Duration(links)*time.Second/maxHeartbeatsPerSecond)
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
