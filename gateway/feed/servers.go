package feed

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/serverlist"
	"github.com/croftvale/croftvale/internal/wait"
	"github.com/vmihailenco/msgpack/v5"
)

// changesPause is the time between two calls for changes of servers: they come
// in groups, and each call costs the source the same. It is small beside the
// seconds within which a change must be in force.
const changesPause = 100 * time.Millisecond

// ServerSource is where the servers are found.
type ServerSource interface {
	// ReadServers returns all servers.
	ReadServers(ctx context.Context) ([]direct.Server, uint64, error)
	// WatchServers waits for changes after a revision.
	WatchServers(ctx context.Context, since uint64, wait time.Duration) ([]Change[direct.Server], uint64, error)
}

// Servers is the feed of the list of servers. Routers tell each other what has changed in
// it, where they can.
type Servers struct {
	Content[serverlist.List]
	o       Options
	listed  sourceList
	history serverlist.History // of the content
	read    reading
}

func newServers(o Options, changed func()) *Servers {
	s := &Servers{o: o}
	s.init(kind[serverlist.List]{
		revision: func(list *serverlist.List) uint64 { return list.Revision },
		accept:   s.accept,
		log:      s.log,
	}, changed)
	return s
}

// About returns what is particular to the list of servers.
func (s *Servers) About() About {
	return About{Name: "servers", SourceName: "source of servers", On: true, Brought: true, Awaited: true, Partial: true}
}

// Read reads all servers.
func (s *Servers) Read(ctx context.Context) (uint64, error) {
	servers, at, err := s.o.Source.ReadServers(ctx)
	if err != nil {
		return 0, err
	}
	if s.read.next(at, s.Revision()) {
		s.listed.restore(servers, s.Newest().Servers, time.Now())
		s.o.Log.Event("source_restored").Uint64("era", EraOf(at)).Int("servers_missing", len(s.listed.lost)).Msg("")
	} else {
		s.listed.reset(servers)
	}
	s.OfferAll(s.listed.directory(s.told(at)), fromSource)
	return at, nil
}

// told is the revision under which the list is told to others. While it holds servers that the source
// lacks, it is one less than the source's: the list without them is newer, though nothing changed in
// the source.
func (s *Servers) told(at uint64) uint64 {
	if s.listed.restoring() && CounterOf(at) > 0 {
		return at - 1
	}
	return at
}

// Watch waits for changes in the list.
func (s *Servers) Watch(ctx context.Context, since uint64, most time.Duration) (uint64, error) {
	if s.listed.restoring() {
		most = min(most, lostFor)
	}
	changes, at, err := s.o.Source.WatchServers(ctx, since, most)
	if err != nil {
		return 0, err
	}
	ids := s.listed.apply(changes)
	ids = append(ids, s.listed.dropLost(time.Now())...)
	if len(ids) > 0 {
		s.OfferChanged(s.listed.directory(s.told(at)), ids, fromSource)
		wait.Sleep(ctx, changesPause)
	}
	return at, nil
}

// OfferAll takes a whole list where it is newer.
func (s *Servers) OfferAll(d *direct.Directory, from string) {
	s.offer(s.list(d), from, func(*serverlist.List) { s.history.Reset() })
}

// OfferChanged takes a list where it is newer. All servers that were touched since the
// list that is known are among ids.
func (s *Servers) OfferChanged(d *direct.Directory, ids []string, from string) {
	s.offer(s.list(d), from, func(old *serverlist.List) {
		if old != nil {
			s.history.Record(old.Revision, ids)
		}
	})
}

// offerUpdate takes what has changed in the list, where that leads to a newer one.
func (s *Servers) offerUpdate(u *serverlist.Update, from string) {
	d := u.Apply(s.Newest(), s.o.Decisions.Now())
	switch {
	case d == nil:
	case u.From == 0:
		s.OfferAll(d, from)
	default:
		s.OfferChanged(d, u.IDs(), from)
	}
}

// since returns what has changed in the list since a revision, or the whole list where
// that is not known. There must be a list.
func (s *Servers) since(revision uint64) serverlist.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.Newest().Aged(s.o.Decisions.Now())
	if u, known := s.history.Since(revision, &d); known {
		return u
	}
	return serverlist.Update{Revision: d.Revision, Servers: d.Servers}
}

// Tell returns what has changed since a revision.
func (s *Servers) Tell(revision uint64) any { return s.since(revision) }

// Take takes in what another router told to have changed.
func (s *Servers) Take(body []byte, from string) error {
	var u serverlist.Update
	if err := msgpack.Unmarshal(body, &u); err != nil {
		return err
	}
	s.offerUpdate(&u, from)
	return nil
}

func (s *Servers) list(d *direct.Directory) *serverlist.List {
	return &serverlist.List{Directory: *d, At: s.o.Decisions.Now()}
}

func (s *Servers) accept(list *serverlist.List) {
	s.o.Decisions.Update(direct.ServersMsg{Now: list.At, Directory: list.Directory})
	if s.o.Rollouts != nil {
		s.o.Rollouts.TakeVersions(versionsOf(list))
	}
}

func (s *Servers) log(list *serverlist.List, from string) {
	if s.o.Log.AllowServerStatus() {
		s.o.Log.Event("servers_listed").Uint64("revision", list.Revision).Str("from", from).Int("servers", len(list.Servers)).Msg("")
	}
}
