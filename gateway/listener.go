package gateway

import (
	"net"
	"time"

	"github.com/croftvale/croftvale/internal/socket"
)

const (
	// intakePoll is the time between two looks whether the router may take in more.
	intakePoll = 5 * time.Millisecond
	// queueAge is the longest time that a connection waits in the socket's queue
	// while the router takes in none: well below the 200 ms after which a request
	// that was sent on a closed connection counts as lost on the known deployments.
	queueAge = 50 * time.Millisecond
	// queueMost bounds the connections that are closed at once.
	queueMost = 1024
)

// listener accepts connections while there is a place for them and the router has
// the processor time to read them. A flood that comes through one host would
// otherwise be read late, all of it, with whatever else the host serves. What it
// cannot take in waits a moment in the short queue of the socket and is then closed
// unread: its caller knows that nothing has run and asks another host.
type listener struct {
	net.Listener
	callers *callers
	late    func() bool         // the process runs late
	pause   func(time.Duration) // time.Sleep
}

// Accept waits until the router may take in a connection, and then for one.
func (l listener) Accept() (net.Conn, error) {
	for waited := time.Duration(0); l.late() || l.callers.full(); waited += intakePoll {
		if waited >= queueAge {
			l.callers.unserved.Add(int64(socket.CloseQueued(l.Listener, queueMost)))
			waited = 0
		}
		l.pause(intakePoll)
	}
	l.callers.places <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.callers.places
		return nil, err
	}
	return l.callers.take(conn), nil
}
