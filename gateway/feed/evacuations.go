package feed

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/direct"
)

const (
	// maxEvacuationsWait is the longest that one call waits for a change of the evacuated
	// data halls. Evacuations are rare, and each call costs the source the same, even if
	// nothing has changed.
	maxEvacuationsWait = 2 * time.Second
	// evacuationsWaitFraction is the fraction of the evacuation deadline that one call may
	// take, so that a call without a response leaves time for another.
	evacuationsWaitFraction = 0.4
)

// EvacuationSource provides the evacuated data halls.
type EvacuationSource interface {
	// ReadEvacuations returns the data halls whose servers must receive no requests.
	ReadEvacuations(ctx context.Context) ([]string, uint64, error)
	// WatchEvacuations waits for changes after a revision; a hall that is no longer
	// evacuated is reported as deleted.
	WatchEvacuations(ctx context.Context, since uint64, wait time.Duration) ([]Change[string], uint64, error)
}

// Evacuations is the feed of the evacuated data halls. Without it, a router could send
// requests to servers of an evacuated hall.
type Evacuations struct {
	Content[direct.Evacuations]
	o        Options
	halls    objectSet[string]
	lastRead readRevision
}

func newEvacuations(o Options, onChange func()) *Evacuations {
	e := &Evacuations{o: o, halls: newObjectSet(func(hall string) string { return hall })}
	e.init(contentHooks[direct.Evacuations]{
		revision: func(set *direct.Evacuations) uint64 { return set.Revision },
		apply: func(set *direct.Evacuations) {
			o.StateMachine.Update(direct.EvacuationsMsg{Now: o.StateMachine.Now(), Evacuations: *set})
		},
		log: func(set *direct.Evacuations, from string) {
			o.Log.Event("evacuations_listed").Uint64("revision", set.Revision).Str("from", from).Strs("halls", set.Halls).Msg("")
		},
	}, onChange)
	return e
}

// Spec returns the settings of the feed. Calls are short enough to meet the evacuation
// deadline.
func (e *Evacuations) Spec() Spec {
	return Spec{
		Name: "evacuations", SourceName: "source of evacuations", Enabled: e.o.EvacuationDeadline > 0, PeersFirst: true,
		MaxWait: min(maxEvacuationsWait, time.Duration(evacuationsWaitFraction*float64(e.o.EvacuationDeadline))),
	}
}

// Read reads the evacuated halls from the source.
func (e *Evacuations) Read(ctx context.Context) (uint64, error) {
	listed, revision, err := e.o.Source.ReadEvacuations(ctx)
	if err != nil {
		return 0, err
	}
	e.halls.reset(listed)
	if e.lastRead.advance(revision, e.Revision()) {
		e.halls.retain(e.known().Halls)
	}
	e.offerHalls(revision)
	return revision, nil
}

// Watch waits for a change of the evacuated halls.
func (e *Evacuations) Watch(ctx context.Context, since uint64, wait time.Duration) (uint64, error) {
	changes, revision, err := e.o.Source.WatchEvacuations(ctx, since, wait)
	if err != nil {
		return 0, err
	}
	e.halls.apply(changes)
	if len(changes) > 0 {
		e.offerHalls(revision)
	}
	return revision, nil
}

func (e *Evacuations) offerHalls(revision uint64) {
	e.Offer(&direct.Evacuations{Revision: revision, Halls: e.halls.all()}, fromSource)
}
