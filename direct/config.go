package direct

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind says what may be done with a request that may have run.
type Kind uint8

// The kinds of requests.
const (
	AtMostOnce Kind = iota // at most once
	Repeatable             // may run more than once
	Stream                 // a series of events; repeatable where the route is resumable
)

// WeightedService is one service of a route that is split between services.
type WeightedService struct {
	Service string
	Weight  int
}

// Route says which requests go to which service, and what holds for them.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Split     []WeightedService // at least one
	Timeout   time.Duration     // the longest that a request may be held
	Objective time.Duration     // an answer, or the first event, earns its full worth within it
	Pause     time.Duration     // longest pause between events that is still in time
	Attempts  int               // servers that one request may be sent to
	Priority  int               // 0 is the highest
	Anonymous bool              // needs no key
	Resumable bool              // a broken stream may go on at another server
	Sticky    bool              // requests name the parts of their prompts
	Regions   []string          // that its requests may be served in; empty: all
}

// MayRepeat tells whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots     int
	KVTokens  int // memory of an engine for prompts, in tokens
	EventSize int // tokens in one event of a stream
}

// Service is a group of servers that run the same requests.
type Service struct {
	Name           string
	MaxConnections int       // that one server accepts from all callers together
	Engine         *Engine   // nil for a plain HTTP service
	Cold           ColdLimit // of each of its servers
}

// Team is who sends requests.
type Team struct {
	Name     string
	Keys     []string
	Priority *int     // takes the place of the route's, where it is set
	Regions  []string // that its requests may be served in; empty: all
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int
	HeaderTimeout   time.Duration
	IdleTimeout     time.Duration
	TokensPerSecond float64 // of all engines together; a token made counts twice
}

// Config is one version of the whole configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Server is one backend server, from one start to its end.
type Server struct {
	ID       string // of this incarnation, see Incarnation; no other has it
	Service  string
	Address  string
	Zone     string
	Version  string // of its software
	Slots    int
	Draining bool
	// ColdFor is how much longer the server is cold, counted from when the list was
	// made; see ColdLimit. 0: it is not known to be cold.
	ColdFor time.Duration
}

// incarnationSeparator stands between a server's name and its start. No name has one.
const incarnationSeparator = "@"

// ErrServerName says that a name can't be a server's.
var ErrServerName = errors.New("a server's name has no @, which would be taken for the mark of its start")

// IncarnationID returns the id of one start of a server: its name, and when it started where
// that is known. Whatever is remembered of a server is kept under it, so nothing of an earlier
// start is taken for the next one's.
func IncarnationID(name string, started *int64) (string, error) {
	switch {
	case strings.Contains(name, incarnationSeparator):
		return "", errors.Wrapf(ErrServerName, "%q", name)
	case started == nil:
		return name, nil
	}
	return name + incarnationSeparator + strconv.FormatInt(*started, 10), nil
}

// Name is that by which the server knows itself; its next incarnation may have it too. It is
// not a field of its own, since lists of servers are most of what routers pull.
func (s *Server) Name() string {
	name, _, _ := strings.Cut(s.ID, incarnationSeparator)
	return name
}

// Directory is the list of servers at one revision of its source.
type Directory struct {
	Revision uint64
	Servers  []Server
}

// Evacuations are the data halls whose servers must get no requests, at one revision
// of their source.
type Evacuations struct {
	Revision uint64
	Halls    []string
}
