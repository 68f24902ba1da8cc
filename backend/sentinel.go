package backend

import (
	"context"
	"io"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/internal/socket"
)

const (
	// maxSentinelAge is when the connection of a sentinel is replaced by a new one. Servers state their idle timeouts
	// in whole seconds.
	maxSentinelAge = 700 * time.Millisecond
	// minSentinelAge is the same for servers that close idle connections early.
	minSentinelAge = 200 * time.Millisecond
	// maxTellingAge is the largest age of a sentinel whose end tells something: later, an idle timeout may have ended it.
	maxTellingAge = 950 * time.Millisecond
	// minResetAge is the age from which a reset tells the same as an end. A server that has too many connections resets
	// new ones.
	minResetAge = 100 * time.Millisecond
	// sentinelPause is the time after which a sentinel is opened again, and after which a new one counts. A server
	// that stops closes its connections one after the other; all of them must have ended by then.
	sentinelPause = 50 * time.Millisecond
)

// sentinel keeps a connection to an address open that carries no request. As long as it is open, the process that
// accepted it runs and has not closed its connections.
type sentinel struct {
	pool    *Pool
	address string
	cancel  context.CancelFunc
	linger  *time.Timer // the pool's mu guards it; nil: it has never been without witnesses

	mu        sync.Mutex
	conn      *Conn  // nil: none is open
	replacing bool   // the next one is being opened, as conn was about to reach the server's idle timeout
	span      uint64 // number of the current series of connections without a gap
	spanAt    time.Time
	brokenAt  time.Time
	doubtAt   time.Time // when one was last found to have ended that an idle timeout may explain
	witnesses map[*Witness]bool
}

// assign records the current span for a witness whose response is still running.
func (s *sentinel) assign(w *Witness) {
	if s.conn != nil && !w.response.IsEnding() {
		w.span = s.span
	}
}

// mayBeIdleTimeout reports whether an idle timeout of the server explains that the connection has ended by now: opening
// the next one has taken too long. If this process is late instead, nothing tells when the connection ended.
func (s *sentinel) mayBeIdleTimeout() bool {
	return s.replacing && time.Since(s.conn.openedAt) >= maxTellingAge
}

// close ends the sentinel if it has no witnesses.
func (s *sentinel) close() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.witnesses) == 0 {
		s.end()
	}
}

// end closes the connection, and opens no other. The caller holds the pool's mu and that of the sentinel.
func (s *sentinel) end() {
	if s.pool.sentinels[s.address] != s {
		return
	}
	delete(s.pool.sentinels, s.address)
	s.cancel()
	if s.conn != nil {
		s.conn.Close()
	}
}

// run keeps a connection open until ctx ends. It replaces the connection before the server's idle timeout ends it.
func (s *sentinel) run(ctx context.Context) {
	age := maxSentinelAge
	for ctx.Err() == nil {
		conn, err := s.pool.Dial(ctx, s.address)
		if err == nil {
			if s.isOpen() {
				pause(ctx) // if the server was closing its connections just now, the one before has ended by then
			}
			s.replace(conn)
			lasted, ended := s.hold(conn, age)
			if !ended {
				continue
			}
			age = max(min(age, lasted/2), minSentinelAge)
		}
		pause(ctx)
	}
	s.replace(nil)
}

// lastBreak returns when a connection of the sentinel was last found to have ended, and zero if none was.
func (s *sentinel) lastBreak() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.brokenAt
}

func (s *sentinel) isOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(sentinelPause):
	}
}

// replace makes conn the open connection. A new span begins unless the server still holds the previous one.
func (s *sentinel) replace(conn *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.conn
	if last == nil || socket.Peek(last.Conn) != socket.Idle {
		switch {
		case last == nil:
		case s.mayBeIdleTimeout():
			s.doubtAt = time.Now()
		default:
			s.brokenAt = time.Now()
		}
		s.span, s.spanAt = s.span+1, time.Now()
	}
	s.conn, s.replacing = conn, false
	if last != nil {
		last.Close()
	}
	for w := range s.witnesses {
		if w.span != s.span {
			s.assign(w)
		}
	}
}

// hold waits until a connection ends, or for a time. It returns how long the connection was open, and whether it has
// ended.
func (s *sentinel) hold(conn *Conn, age time.Duration) (lasted time.Duration, ended bool) {
	_ = conn.SetReadDeadline(time.Now().Add(age)) // it fails on a closed connection, as the read does
	_, err := conn.Conn.Read(make([]byte, 1))
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if socket.Peek(conn.Conn) == socket.Idle {
			s.replacing = true
			return 0, false
		}
		err = io.EOF // it had ended when this process was late
	}
	s.conn = nil
	conn.Close()
	lasted = time.Since(conn.openedAt)
	if isTeardown(err, lasted) {
		s.brokenAt = time.Now()
	}
	return lasted, true
}

// isTeardown reports whether the end of a connection after a time tells that the server closes its connections.
func isTeardown(err error, lasted time.Duration) bool {
	if errors.Is(err, syscall.ECONNRESET) {
		return lasted >= minResetAge
	}
	return errors.Is(err, io.EOF)
}
