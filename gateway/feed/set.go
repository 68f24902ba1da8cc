package feed

import (
	"context"
	"slices"
	"time"

	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/croftvale/croftvale/quarantine"
)

// fromSource is the origin in logs of content that came from the source, not from another
// router.
const fromSource = "source"

// Options holds the dependencies and settings of feeds.
type Options struct {
	Source       Source
	StateMachine StateMachine
	Log          *eventlog.Log
	Stats        *stats.Stats
	// EvacuationDeadline is the longest allowed time between the evacuation of a data hall
	// in the source and the last request to its servers; 0 means that halls are never
	// evacuated.
	EvacuationDeadline time.Duration
	// Rollouts decides on rollouts. If it is nil, rollouts are disabled and their feeds do
	// not exist.
	Rollouts Rollouts
}

// Set holds the feeds of a router.
type Set struct {
	Config      *Config
	Servers     *Servers
	Evacuations *Evacuations
	// Orders and Records are nil if rollouts are disabled.
	Orders     *Orders
	Records    *Records
	Quarantine *Quarantine
	// QuarantinedParts is the feed of barred prompt parts.
	QuarantinedParts *Quarantine
	// OnChange is called after newer content is applied. Set it before the feeds are used.
	OnChange  func()
	log       *eventlog.Log
	feeds     []Feed // in the order of Revisions: append new feeds at the end
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
	s.Quarantine = newQuarantine(o, quarantine.Content, onChange)
	s.QuarantinedParts = newQuarantine(o, quarantine.Part, onChange)
	s.feeds = append(s.feeds, s.Quarantine, s.QuarantinedParts)
	for _, f := range s.feeds {
		s.followers = append(s.followers, &follower{feed: f, spec: f.Spec(), log: o.Log, stats: o.Stats})
	}
	return s
}

// Revisions returns the revision of each feed's content.
func (s *Set) Revisions() Revisions {
	out := make(Revisions, len(s.feeds))
	for i, f := range s.feeds {
		out[i] = f.Revision()
	}
	return out
}

// ServersBehind reports whether the list of servers is older than the one among a router's revisions.
func (s *Set) ServersBehind(other Revisions) bool {
	return s.Servers.Revision() < other.get(slices.Index(s.feeds, Feed(s.Servers)))
}

// Era returns the latest era of the source that this router has seen. Each restore of the source from
// a backup starts a new era.
func (s *Set) Era() uint64 {
	era := uint64(0)
	for i, revision := range s.Revisions() {
		if s.feeds[i] != s.Config { // its revisions are versions that the operator assigns
			era = max(era, EraOf(revision))
		}
	}
	return era
}

// Complete reports whether the router has all content that it needs to serve requests.
func (s *Set) Complete() bool {
	for _, f := range s.followers {
		if f.spec.Enabled && !f.spec.Optional && !f.feed.HasContent() {
			return false
		}
	}
	return true
}

// SourceFailing reports whether the last call to the source failed for any feed.
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
