package feed

import (
	"context"
	"slices"
	"time"

	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/gateway/stats"
)

// fromSource says in logs that content came from the source, not from another router.
const fromSource = "source"

// Options are what feeds stand on.
type Options struct {
	Source       Source
	StateMachine StateMachine
	Log          *eventlog.Log
	Stats        *stats.Stats
	// EvacuationDeadline is the most that may pass between the word that a data hall is
	// evacuated and the last request to its servers; 0: no hall is ever evacuated.
	EvacuationDeadline time.Duration
	// Rollouts decides on roll-outs; nil: they are not on, and their feeds don't exist.
	Rollouts Rollouts
}

// Set is the feeds of a router.
type Set struct {
	Config      *Config
	Servers     *Servers
	Evacuations *Evacuations
	// Orders and Records are nil where roll-outs are not on.
	Orders     *Orders
	Records    *Records
	Quarantine *Quarantine
	// OnChange is called when newer content is in force; set it before the feeds are used.
	OnChange  func()
	log       *eventlog.Log
	feeds     []Feed // in the order of Revisions: new ones come last
	followers []*follower
}

// NewSet returns feeds without content.
func NewSet(o Options) *Set {
	s := &Set{log: o.Log, OnChange: func() {}}
	onChange := func() { s.OnChange() }
	s.Config = newConfig(o, onChange)
	s.Servers = newServers(o, onChange)
	s.Evacuations = newEvacuations(o, onChange)
	s.feeds = []Feed{s.Config, s.Servers, s.Evacuations}
	if o.Rollouts != nil {
		s.Orders, s.Records = newOrders(o, onChange), newRecords(o, onChange)
		s.feeds = append(s.feeds, s.Orders, s.Records)
	}
	s.Quarantine = newQuarantine(o, onChange)
	s.feeds = append(s.feeds, s.Quarantine)
	for _, f := range s.feeds {
		s.followers = append(s.followers, &follower{feed: f, spec: f.Spec(), log: o.Log, stats: o.Stats})
	}
	return s
}

// Revisions returns how new what this router knows is.
func (s *Set) Revisions() Revisions {
	out := make(Revisions, len(s.feeds))
	for i, f := range s.feeds {
		out[i] = f.Revision()
	}
	return out
}

// Era is that of the source, as far as this router knows: it rises each time the source comes back
// from a copy.
func (s *Set) Era() uint64 {
	era := uint64(0)
	for i, revision := range s.Revisions() {
		if s.feeds[i] != s.Config { // whose revisions are the operator's
			era = max(era, EraOf(revision))
		}
	}
	return era
}

// Complete tells whether enough is known to serve requests at all.
func (s *Set) Complete() bool {
	for _, f := range s.followers {
		if f.spec.Enabled && !f.spec.Optional && !f.feed.HasContent() {
			return false
		}
	}
	return true
}

// SourceFailing tells whether the last call to the source for any feed failed.
func (s *Set) SourceFailing() bool {
	return slices.ContainsFunc(s.followers, func(f *follower) bool { return f.failing.Load() })
}

// Followed returns the feeds that are kept up to date from the source.
func (s *Set) Followed() []Feed {
	return slices.DeleteFunc(slices.Clone(s.feeds), func(f Feed) bool { return !f.Spec().Enabled })
}

// Follow keeps one feed of the set up to date from the source until ctx ends.
func (s *Set) Follow(ctx context.Context, f Feed, r Role) error {
	return s.followers[slices.Index(s.feeds, f)].run(ctx, r)
}
