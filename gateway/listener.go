package gateway

import (
	"net"
	"time"

	"github.com/croftvale/croftvale/internal/socket"
)

const (
	// acceptPollInterval is the time between two looks whether the router may take in more.
	acceptPollInterval = 5 * time.Millisecond
	// maxQueueTime is the longest time that a connection waits in the socket's queue
	// while the router takes in none: well below the 200 ms after which a request
	// that was sent on a closed connection counts as lost on the known deployments.
	maxQueueTime = 50 * time.Millisecond
	// maxQueuedClosed bounds the connections that are closed at once.
	maxQueuedClosed = 1024
)

// callerListener accepts connections while there is a place for them and the router has
// the processor time to read them. A flood that comes through one host would
// otherwise be read late, all of it, with whatever else the host serves. What it
// cannot take in waits a moment in the short queue of the socket and is then closed
// unread: its caller knows that nothing has run and asks another host.
type callerListener struct {
	net.Listener
	conns *callerConns
	late  func() bool         // the process runs late
	sleep func(time.Duration) // time.Sleep
}

// Accept waits until the router may take in a connection, and then for one.
func (l callerListener) Accept() (net.Conn, error) {
	for waited := time.Duration(0); l.late() || l.conns.full(); waited += acceptPollInterval {
		if waited >= maxQueueTime {
			l.conns.unserved.Add(int64(socket.CloseQueued(l.Listener, maxQueuedClosed)))
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
