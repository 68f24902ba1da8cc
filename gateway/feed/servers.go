package feed

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/serverlist"
	"github.com/croftvale/croftvale/internal/wait"
)

// serverChangesPause is the pause between two calls for changes of servers. Changes
// come in bursts, and each call costs the source the same, however many changes it
// returns. The pause is short compared with the seconds within which a change must take
// effect.
const serverChangesPause = 100 * time.Millisecond

// ServerSource provides the servers.
type ServerSource interface {
	// ReadServers returns all servers.
	ReadServers(ctx context.Context) ([]direct.Server, uint64, error)
	// WatchServers waits for changes after a revision.
	WatchServers(ctx context.Context, since uint64, wait time.Duration) ([]Change[direct.Server], uint64, error)
}

// Servers is the feed of the list of servers. Routers send each other only the changes
// where possible.
type Servers struct {
	Content[serverlist.List]
	o        Options
	listed   sourceList
	history  serverlist.History // of the content
	lastRead readRevision
}

func newServers(o Options, onChange func()) *Servers {
	s := &Servers{o: o}
	s.init(contentHooks[serverlist.List]{
		revision: func(list *serverlist.List) uint64 { return list.Revision },
		apply:    s.apply,
		log:      s.log,
	}, onChange)
	return s
}

// Spec returns the settings of the feed.
func (s *Servers) Spec() Spec {
	return Spec{Name: "servers", SourceName: "source of servers", Enabled: true, PeersFirst: true, Blocking: true, Incremental: true}
}

// Read reads all servers from the source.
func (s *Servers) Read(ctx context.Context) (uint64, error) {
	servers, revision, err := s.o.Source.ReadServers(ctx)
	if err != nil {
		return 0, err
	}
	if s.lastRead.advance(revision, s.Revision()) {
		s.listed.restore(servers, s.known().Servers, time.Now())
		s.o.Log.Event("source_restored").Uint64("era", EraOf(revision)).Int("servers_missing", len(s.listed.missing)).Msg("")
	} else {
		s.listed.reset(servers)
	}
	s.OfferAll(s.listed.directory(s.publishedRevision(revision)), fromSource)
	return revision, nil
}

// publishedRevision returns the revision under which other routers receive the list. While the list
// holds servers that the source lacks after a restore, it is one less than the source's revision. The
// list without these servers is then newer, even if nothing else changes in the source.
func (s *Servers) publishedRevision(revision uint64) uint64 {
	if s.listed.restoring() && CounterOf(revision) > 0 {
		return revision - 1
	}
	return revision
}

// Watch waits for changes of the list.
func (s *Servers) Watch(ctx context.Context, since uint64, maxWait time.Duration) (uint64, error) {
	if s.listed.restoring() {
		maxWait = min(maxWait, missingTTL)
	}
	changes, revision, err := s.o.Source.WatchServers(ctx, since, maxWait)
	if err != nil {
		return 0, err
	}
	ids := s.listed.apply(changes)
	ids = append(ids, s.listed.dropMissing(time.Now())...)
	if len(ids) > 0 {
		s.OfferChanged(s.listed.directory(s.publishedRevision(revision)), ids, fromSource)
		wait.Sleep(ctx, serverChangesPause)
	}
	return revision, nil
}

// OfferAll applies a whole list if it is newer.
func (s *Servers) OfferAll(d *direct.Directory, from string) {
	s.offer(s.newList(d), from, func(*serverlist.List) { s.history.Reset() })
}

// OfferChanged applies a list if it is newer. ids must include every server that changed since
// the current list.
func (s *Servers) OfferChanged(d *direct.Directory, ids []string, from string) {
	s.offer(s.newList(d), from, func(old *serverlist.List) {
		if old != nil {
			s.history.Record(old.Revision, ids)
		}
	})
}

// offerUpdate applies an update if it results in a newer list.
func (s *Servers) offerUpdate(u *serverlist.Update, from string) {
	d := u.Apply(s.Newest(), s.o.StateMachine.Now())
	switch {
	case d == nil:
	case u.From == 0:
		s.OfferAll(d, from)
	default:
		s.OfferChanged(d, u.IDs(), from)
	}
}

// updateSince returns the changes of the list since a revision, or the whole list if the
// history does not go back that far. There must be a list.
func (s *Servers) updateSince(revision uint64) serverlist.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.Newest().Aged(s.o.StateMachine.Now())
	if u, ok := s.history.Since(revision, &d); ok {
		return u
	}
	return serverlist.Update{Revision: d.Revision, Servers: d.Servers}
}

// ContentSince returns the changes since a revision, or the whole list.
func (s *Servers) ContentSince(revision uint64) any { return s.updateSince(revision) }

// ApplyPulled decodes and applies an update that was pulled from another router.
func (s *Servers) ApplyPulled(body []byte, from string) error {
	var u serverlist.Update
	if err := decodePulled(body, &u); err != nil {
		return err
	}
	s.offerUpdate(&u, from)
	return nil
}

// newList returns the directory as a list with the current time.
func (s *Servers) newList(d *direct.Directory) *serverlist.List {
	return &serverlist.List{Directory: *d, At: s.o.StateMachine.Now()}
}

func (s *Servers) apply(list *serverlist.List) {
	s.o.StateMachine.Update(direct.ServersMsg{Now: list.At, Directory: list.Directory})
	if s.o.Rollouts != nil {
		s.o.Rollouts.SetVersions(versionsByService(list))
	}
}

func (s *Servers) log(list *serverlist.List, from string) {
	if s.o.Log.AllowServerStatus() {
		s.o.Log.Event("servers_listed").Uint64("revision", list.Revision).Str("from", from).Int("servers", len(list.Servers)).Msg("")
	}
}
