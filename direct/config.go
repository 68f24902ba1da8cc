package direct

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind states whether a request that may have run can be repeated.
type Kind uint8

// Values of Kind.
const (
	AtMostOnce Kind = iota // never repeated once it may have run
	Repeatable             // may run more than once
	Stream                 // a series of events; repeatable if the route is resumable
)

// WeightedService is one of the services that a route splits its requests between.
type WeightedService struct {
	Service string
	Weight  int
}

// Route maps requests to a service and holds the rules that apply to them.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Split     []WeightedService // at least one
	Timeout   time.Duration     // maximum duration of a request
	Objective time.Duration     // a response, or its first event, has its full value within this time
	Pause     time.Duration     // maximum pause between events that counts as in time
	Attempts  int               // maximum number of servers that one request is sent to
	Priority  int               // 0 is the highest
	Anonymous bool              // needs no key
	Resumable bool              // an interrupted stream may resume at another server
	Sticky    bool              // requests name the parts of their prompts
	Regions   []string          // that may serve its requests; empty: all
}

// MayRepeat reports whether a request of the route may run more than once.
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
	MaxConnections int       // maximum that one server accepts from all callers together
	Engine         *Engine   // nil for a plain HTTP service
	Cold           ColdLimit // limit of each of its servers
}

// Team is a group of callers that share keys and a share of the capacity.
type Team struct {
	Name     string
	Keys     []string
	Priority *int     // overrides the route's priority if set
	Regions  []string // that may serve its requests; empty: all
}

// Limits bound the size of requests, the time that callers may take, and the total capacity.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int
	HeaderTimeout   time.Duration
	IdleTimeout     time.Duration
	TokensPerSecond float64 // capacity of all engines together; an output token counts twice
}

// Config is one version of the whole configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Server is one incarnation of a backend server, from a start to its end.
type Server struct {
	ID       string // unique to this incarnation; see IncarnationID
	Service  string
	Address  string
	Zone     string
	Version  string // of its software
	Slots    int
	Draining bool
	// ColdFor is the remaining time that the server is cold, as of when the list was made; see
	// ColdLimit. 0: not known to be cold.
	ColdFor time.Duration
}

// incarnationSeparator separates a server's name from its start time in an ID. Names must not
// contain it.
const incarnationSeparator = "@"

// ErrServerName is returned for a server name that contains the incarnation separator.
var ErrServerName = errors.New("server name contains @, which separates the name from the start time")

// IncarnationID returns the ID of one start of a server: its name and, if known, its start
// time. All state about a server is stored under this ID, so nothing carries over from one
// start to the next.
func IncarnationID(name string, started *int64) (string, error) {
	switch {
	case strings.Contains(name, incarnationSeparator):
		return "", errors.Wrapf(ErrServerName, "%q", name)
	case started == nil:
		return name, nil
	}
	return name + incarnationSeparator + strconv.FormatInt(*started, 10), nil
}

// Name returns the server's own name, which its next incarnation may share. It is derived from
// the ID because a separate field would enlarge the server lists, which are most of what
// routers fetch.
func (s *Server) Name() string {
	name, _, _ := strings.Cut(s.ID, incarnationSeparator)
	return name
}

// Incarnation tells whether a connection leads to the start of a server that its entry names.
type Incarnation uint8

// Values of Incarnation.
const (
	UnknownIncarnation Incarnation = iota // the server or its entry doesn't tell
	SameIncarnation
	OtherIncarnation
)

// String names the value, for logs and metrics.
func (i Incarnation) String() string {
	switch i {
	case SameIncarnation:
		return "same"
	case OtherIncarnation:
		return "other"
	}
	return "unknown"
}

// UnknownVersion is the version of a server that may have restarted since its entry was written, if its
// start is not known either. No server is listed with it.
const UnknownVersion = "\x00"

// UnlistedVersion returns the version of a start of a server whose entry has not come yet: UnknownVersion and
// the ID of the start.
func UnlistedVersion(name string, startMillis int64) string {
	return UnknownVersion + name + incarnationSeparator + strconv.FormatInt(startMillis, 10)
}

// UnlistedID returns the ID of the start that an unlisted version stands for; empty: none.
func UnlistedID(version string) string {
	id, _ := strings.CutPrefix(version, UnknownVersion)
	if len(id) == len(version) {
		return ""
	}
	return id
}

// IsUnknownVersion reports whether a version is UnknownVersion or an unlisted one.
func IsUnknownVersion(version string) bool { return strings.HasPrefix(version, UnknownVersion) }

// TellsStart reports whether the server's entry tells its start.
func (s *Server) TellsStart() bool { return strings.Contains(s.ID, incarnationSeparator) }

// MatchStart compares the start that a server itself has told, as Unix time in milliseconds, with that of
// its entry. Clocks of hosts may be wrong, so neither of two starts counts as the later one.
func (s *Server) MatchStart(millis int64) Incarnation {
	_, started, ok := strings.Cut(s.ID, incarnationSeparator)
	switch {
	case !ok:
		return UnknownIncarnation
	case started == strconv.FormatInt(millis, 10):
		return SameIncarnation
	}
	return OtherIncarnation
}

// Directory is the list of servers at one revision of its source.
type Directory struct {
	Revision uint64
	Servers  []Server
}

// Evacuations are the data halls whose servers must get no requests, at one revision of their
// source.
type Evacuations struct {
	Revision uint64
	Halls    []string
}
