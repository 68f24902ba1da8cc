package eventlog

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/croftvale/croftvale/gateway/sendqueue"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	maxQueuedLines       = 2048 // waiting to be written
	successSampling      = 32   // one of this many ordinary successes is logged, with the same ids on every host
	maxFailureLines      = 60   // per second, for failed and refused requests
	maxServerStatusLines = 40   // per second
	maxNamedRouters      = 4    // named in one line on many routers
)

// Log writes JSON lines. Lines that do not fit into its queue are dropped and counted.
type Log struct {
	logger       log.Logger
	lines        chan []byte
	dropped      atomic.Uint64
	failures     *rate.Limiter
	serverStatus *rate.Limiter
	closeOnce    sync.Once
	closing      chan struct{} // closed to make write drain the queue and return
	done         chan struct{} // closed when write has returned
}

// New returns a log that writes to out, with process as the name of the process on each line.
func New(out io.Writer, process string) *Log {
	l := &Log{
		lines:        make(chan []byte, maxQueuedLines),
		failures:     rate.NewLimiter(maxFailureLines, maxFailureLines),
		serverStatus: rate.NewLimiter(maxServerStatusLines, 4*maxServerStatusLines),
		closing:      make(chan struct{}),
		done:         make(chan struct{}),
	}
	l.logger = log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("process", process).Value(),
		Writer:     &log.IOWriter{Writer: l},
	}
	go l.write(out)
	return l
}

// Write queues one line, or drops it if the queue is full. It never blocks.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.CountDropped()
	}
	return len(line), nil
}

func (l *Log) write(out io.Writer) {
	defer close(l.done)
	for {
		select {
		case line := <-l.lines:
			_, _ = out.Write(line) // there is nowhere else to report a failing log
		case <-l.closing:
			for len(l.lines) > 0 {
				_, _ = out.Write(<-l.lines)
			}
			return
		}
	}
}

// Close writes the queued lines. Lines that are logged later are not written. It may be called more than
// once.
func (l *Log) Close() {
	l.closeOnce.Do(func() {
		if n := l.dropped.Load(); n > 0 {
			l.logger.Warn().Str("event", "log_dropped").Uint64("lines", n).Msg("")
		}
		close(l.closing)
	})
	<-l.done
}

// Event starts a line for the named event.
func (l *Log) Event(name string) *log.Entry {
	return l.logger.Info().Str("event", name)
}

// Dropped returns the number of dropped lines.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// CountDropped counts a line as dropped.
func (l *Log) CountDropped() { l.dropped.Add(1) }

// AllowFailure reports whether the rate limit allows another line on a failed or refused
// request. If it does not, the line counts as dropped.
func (l *Log) AllowFailure() bool {
	if !l.failures.Allow() {
		l.CountDropped()
		return false
	}
	return true
}

// AllowServerStatus reports whether the rate limit allows another line on the status of a
// server. Lines that it does not allow are not counted as dropped.
func (l *Log) AllowServerStatus() bool { return l.serverStatus.Allow() }

// Sampled reports whether an ordinary success with this request id is logged.
func Sampled(id string) bool { return xxhash.Sum64String(id)%successSampling == 0 }

// Dependency logs a change of a dependency of the router: it was lost or regained.
func (l *Log) Dependency(name, change string, err error) {
	l.Event("dependency_"+change).Str("dependency", name).Err(err).Msg("")
}

// UnreadResponse logs that a response was not read to its end.
func (l *Log) UnreadResponse(unread sendqueue.UnreadResponse) {
	if l.AllowFailure() {
		l.Event("answer_unread").Str("team", unread.Team).Int("bytes_left", unread.BytesLeft).Dur("stalled", unread.Stalled).Err(unread.Err).Msg("")
	}
}

// Routers logs an event of several other routers in one line. With a line for each router, a
// starting fleet would log a line for each pair of its routers.
func (l *Log) Routers(event string, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	slices.Sort(addresses)
	l.Event(event).Int("count", len(addresses)).Strs("first", addresses[:min(len(addresses), maxNamedRouters)]).Msg("")
}
