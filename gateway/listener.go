package gateway

import (
	"net"
	"time"

	"github.com/croftvale/croftvale/internal/socket"
)

const (
	// acceptPollInterval is the time between checks of whether the router may accept a
	// connection.
	acceptPollInterval = 5 * time.Millisecond
	// maxQueueTime is the longest time that a connection waits in the socket's queue while
	// the router accepts none. It is well below the 200 ms after which a request sent on a
	// closed connection counts as lost on the known deployments.
	maxQueueTime = 50 * time.Millisecond
	// maxCloseBatch bounds the queued connections that one call closes.
	maxCloseBatch = 1024
)

// callerListener accepts connections while a slot is free and the router has the processor
// time to read them. Otherwise a flood through one host would delay all requests on that
// host. Connections that it cannot accept wait briefly in the short queue of the socket and
// are then closed unread: their callers can tell that nothing has run, and use another
// host.
type callerListener struct {
	net.Listener
	conns *callerConns
	late  func() bool         // reports whether the process runs late
	sleep func(time.Duration) // time.Sleep
}

// Accept waits until the router may accept a connection, and then for a connection.
func (l callerListener) Accept() (net.Conn, error) {
	for waited := time.Duration(0); l.late() || l.conns.full(); waited += acceptPollInterval {
		if waited >= maxQueueTime {
			l.conns.unserved.Add(int64(socket.CloseQueued(l.Listener, maxCloseBatch)))
			waited = 0
		}
		l.sleep(acceptPollInterval)
	}
	l.conns.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.conns.slots
		return nil, err
	}
	return l.conns.add(conn), nil
}
