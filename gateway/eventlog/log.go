package eventlog

import (
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/croftvale/croftvale/gateway/sendqueue"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	maxQueuedLines       = 2048 // that wait to be written
	successSampling      = 32   // ordinary successes; the same ids on every host
	maxFailureLines      = 60   // a second, failures and refusals of requests
	maxServerStatusLines = 40   // a second
	maxNamedRouters      = 4    // routers that one line on many names
)

// Log writes JSON lines. What does not fit into its queue is counted and dropped.
type Log struct {
	logger       log.Logger
	lines        chan []byte
	dropped      atomic.Uint64
	failures     *rate.Limiter
	serverStatus *rate.Limiter
	closing      chan struct{} // closed to have what is left written
	done         chan struct{} // closed when it is
}

// New returns a log of a process that writes to out.
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

// Write takes one line, or drops it.
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
			_, _ = out.Write(line) // there is nowhere else to say that the log fails
		case <-l.closing:
			for len(l.lines) > 0 {
				_, _ = out.Write(<-l.lines)
			}
			return
		}
	}
}

// Close writes what is left. What is logged after it is not written.
func (l *Log) Close() {
	if n := l.dropped.Load(); n > 0 {
		l.logger.Warn().Str("event", "log_dropped").Uint64("lines", n).Msg("")
	}
	close(l.closing)
	<-l.done
}

// Event begins a line.
func (l *Log) Event(name string) *log.Entry {
	return l.logger.Info().Str("event", name)
}

// Dropped returns how many lines were dropped.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// CountDropped counts a line that is not written.
func (l *Log) CountDropped() { l.dropped.Add(1) }

// AllowFailure tells whether one more line on a failure or refusal of a request may be
// written now. Where it may not, the line counts as dropped.
func (l *Log) AllowFailure() bool {
	if !l.failures.Allow() {
		l.CountDropped()
		return false
	}
	return true
}

// AllowServerStatus tells whether one more line on what the router believes of servers may be
// written now.
func (l *Log) AllowServerStatus() bool { return l.serverStatus.Allow() }

// Sampled tells whether an ordinary request is logged, by its id.
func Sampled(id string) bool { return xxhash.Sum64String(id)%successSampling == 0 }

// Dependency logs that something the router depends on was lost, or regained.
func (l *Log) Dependency(name, change string, err error) {
	l.Event("dependency_"+change).Str("dependency", name).Err(err).Msg("")
}

// UnreadResponse logs that an answer was not read to its end.
func (l *Log) UnreadResponse(unread sendqueue.UnreadResponse) {
	if l.AllowFailure() {
		l.Event("answer_unread").Str("team", unread.Team).Int("bytes_left", unread.BytesLeft).Dur("stalled", unread.Stalled).Err(unread.Err).Msg("")
	}
}

// Routers logs that other routers came or went, all of one round in one line: a
// fleet that starts would otherwise log a line for each pair of its routers.
func (l *Log) Routers(event string, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	slices.Sort(addresses)
	l.Event(event).Int("count", len(addresses)).Strs("first", addresses[:min(len(addresses), maxNamedRouters)]).Msg("")
}
