package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/croftvale/croftvale/standin/caller"
	"github.com/croftvale/croftvale/standin/lab"
)

const sampleEvery = 20 * time.Millisecond

// sampled is the service of every team at one time, since the measurement
// began, in slot-milliseconds per unit of share.
type sampled struct {
	at      time.Duration
	service map[string]float64
}

// judge watches the load from outside the fleet.
type judge struct {
	fleet   *labFleet
	mu      sync.Mutex
	began   time.Time
	base    map[string]time.Duration
	samples []sampled
	idle    float64 // slot-samples idle while work waited
	slots   float64 // slot-samples in all

	open    map[string]int // requests without an answer, by team
	waits   map[string]*hdrhistogram.Histogram
	answers []answer
	hurt    map[string][]span // when a process was in trouble, and felt it
	down    map[string]bool   // processes that are killed or frozen now
}

// answer is one caller's answer, kept to be checked at the end.
type answer struct {
	caller.Answer
	work   string
	router string
	from   time.Time
	to     time.Time
}

// span is a time during which a process was in trouble.
type span struct{ from, to time.Time }

func newJudge(f *labFleet) *judge {
	j := &judge{fleet: f, open: map[string]int{}, waits: map[string]*hdrhistogram.Histogram{}, hurt: map[string][]span{}, down: map[string]bool{}}
	for _, class := range []string{"urgent", "ordinary", "batch"} {
		j.waits[class] = hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 3)
	}
	return j
}

func (j *judge) begin() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.began = time.Now()
	j.base = j.fleet.account.Service(j.began)
}

func (j *judge) asked(t teamProfile) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.open[t.name]++
}

func (j *judge) answered(t teamProfile, class string, p *lab.Process, a caller.Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.open[t.name]--
	now := time.Now()
	j.answers = append(j.answers, answer{a, t.work, string(p.Name), now.Add(-a.Took), now})
	if a.Kind == caller.Served && !j.began.IsZero() {
		_ = j.waits[class].RecordValue(a.Wait.Microseconds()) // out of range: the caller had given up
	}
}

// trouble notes that a process was killed or frozen for a time.
func (j *judge) trouble(name string, from, to time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.hurt[name] = append(j.hurt[name], span{from, to})
}

// setDown notes that a process is killed or frozen, or no longer.
func (j *judge) setDown(name string, down bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.down[name] = down
}

// sample watches until ctx ends.
func (j *judge) sample(ctx context.Context) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			j.sampleOnce()
		}
	}
}

func (j *judge) sampleOnce() {
	now := time.Now()
	service := j.fleet.account.Service(now)
	j.mu.Lock()
	defer j.mu.Unlock()
	s := sampled{at: now.Sub(j.began), service: map[string]float64{}}
	for _, t := range j.fleet.profile.teams {
		ms := float64(service[t.name]-j.base[t.name]) / float64(time.Millisecond)
		s.service[t.name] = ms / t.share
	}
	j.samples = append(j.samples, s)
	j.sampleIdle()
}

// sampleIdle counts idle slots for which work waits. What waits is what has
// been asked and neither runs nor is answered. The slots of an agent that is
// killed or frozen can do nothing and don't count until it is back.
func (j *judge) sampleIdle() {
	running := j.fleet.account.Running()
	waiting := map[string]int{}
	for _, t := range j.fleet.profile.teams {
		waiting[t.work] += max(0, j.open[t.name]-running[t.name])
	}
	for i, e := range j.fleet.engines {
		if j.down[fmt.Sprintf("engine-%d", i)] {
			continue
		}
		free := j.fleet.profile.slots - e.Running()
		work := waiting[workReport]
		if j.fleet.half[i] {
			work += waiting[workQuestion]
		}
		j.idle += float64(min(free, work))
		j.slots += float64(j.fleet.profile.slots)
	}
}

// gaps returns the greatest gap between two backlogged teams at every sample.
func (j *judge) gaps() []float64 {
	teams := j.fleet.profile.backlogged()
	var out []float64
	for _, s := range j.samples {
		least, most := s.service[teams[0].name], s.service[teams[0].name]
		for _, t := range teams {
			least = min(least, s.service[t.name])
			most = max(most, s.service[t.name])
		}
		out = append(out, most-least)
	}
	return out
}

// inTrouble tells whether an answer's router was hurt while it was asked.
func (j *judge) inTrouble(a answer) bool {
	return slices.ContainsFunc(j.hurt[a.router], func(s span) bool {
		return a.from.Before(s.to) && a.to.After(s.from)
	})
}
