package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/standin/caller"
)

// Report is the last line of a run. Times are in milliseconds unless the name
// says otherwise; the gap is in slot-milliseconds per unit of share.
type Report struct {
	Profile string `json:"profile"`
	Policy  string `json:"policy"`
	Faults  string `json:"faults"`
	Seed    uint64 `json:"seed"`
	Seconds int    `json:"seconds"`

	GapP50     float64 `json:"gap_p50_ms"`
	GapMax     float64 `json:"gap_max_ms"`
	GapAt12s   float64 `json:"gap_at_12s_ms"`
	GapEnd     float64 `json:"gap_end_ms"`
	Bound      float64 `json:"bound_ms"`
	SpreadMS   float64 `json:"spread_ms"` // from a roll to its bundle in force in every process
	Slots      int     `json:"slots"`
	MeanCost   float64 `json:"mean_cost_ms"`
	GapP50Unit float64 `json:"gap_p50_of_slots_cost"`
	GapMaxUnit float64 `json:"gap_max_of_slots_cost"`

	ServiceEnd map[string]float64 `json:"service_end_ms"` // of the backlogged teams

	IdleShare    float64            `json:"idle_share"`
	ControlMax   float64            `json:"control_bytes_per_node_s"`
	ControlMean  float64            `json:"control_bytes_per_node_s_mean"`
	ControlTypes map[string]float64 `json:"control_bytes_s_by_type"`

	UrgentP95   float64 `json:"urgent_p95_ms"`
	OrdinaryP95 float64 `json:"ordinary_p95_ms"`
	BatchP95    float64 `json:"batch_p95_ms"`
	OverheadP50 float64 `json:"overhead_p50_us"`
	OverheadP99 float64 `json:"overhead_p99_us"`

	Requests    int `json:"requests"`
	Served      int `json:"served"`
	Refused     int `json:"refused"`
	Lost        int `json:"lost"`    // no final answer in the caller's patience, or cut with its router well
	Cut         int `json:"cut"`     // surfaced as broken: its router was killed or frozen, or its agent
	Unknown     int `json:"unknown"` // told truthfully that nobody knows whether it ran
	Doubled     int `json:"doubled"`
	Mixed       int `json:"mixed"`
	FalseNotRun int `json:"false_not_run"`
}

// report fills in what the judge saw.
func (j *judge) report(f *labFleet, r *Report) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.Slots = f.profile.engines * f.profile.slots
	r.MeanCost = f.account.MeanCost().Seconds() * 1000
	r.Bound = f.bound()
	r.IdleShare = j.idle / max(j.slots, 1)
	j.reportGap(r)
	r.UrgentP95 = j.p95("urgent")
	r.OrdinaryP95 = j.p95("ordinary")
	r.BatchP95 = j.p95("batch")
	for _, a := range j.answers {
		j.count(a, r)
	}
}

func (j *judge) reportGap(r *Report) {
	gaps := j.gaps()
	if len(gaps) == 0 {
		return
	}
	at12 := min(len(gaps)-1, int(12*time.Second/sampleEvery))
	r.GapAt12s = gaps[at12]
	r.GapEnd = gaps[len(gaps)-1]
	r.ServiceEnd = map[string]float64{}
	for _, t := range j.fleet.profile.backlogged() {
		r.ServiceEnd[t.name] = j.samples[len(j.samples)-1].service[t.name]
	}
	slices.Sort(gaps)
	r.GapP50 = gaps[len(gaps)/2]
	r.GapMax = gaps[len(gaps)-1]
	unit := float64(r.Slots) * r.MeanCost
	r.GapP50Unit = r.GapP50 / unit
	r.GapMaxUnit = r.GapMax / unit
}

func (j *judge) p95(class string) float64 {
	return float64(j.waits[class].ValueAtQuantile(95)) / 1000
}

// count judges one answer against what the servers ran.
func (j *judge) count(a answer, r *Report) {
	r.Requests++
	runs := j.fleet.record.Runs(a.Nonce)
	switch a.Kind {
	case caller.Served:
		r.Served++
	case caller.Refused:
		r.Refused++
	case caller.GivenUp:
		r.Lost++
	case caller.Broken:
		if j.inTrouble(a) || j.agentsHurt(a) {
			r.Cut++
		} else {
			r.Lost++
		}
	}
	if a.Ran == "unknown" {
		r.Unknown++
	}
	if a.Mixed {
		r.Mixed++
	}
	if a.Ran == "no" && runs > 0 {
		r.FalseNotRun++
	}
	if a.work == workPages && runs > 1 {
		r.Doubled++
	}
	if a.Kind == caller.Served && runs == 0 {
		r.Mixed++
	}
}

// agentsHurt tells whether any agent was killed or frozen, or a link between
// halls cut, while the request was open: any of them may have carried it.
func (j *judge) agentsHurt(a answer) bool {
	for name, spans := range j.hurt {
		if name[:4] == "rout" {
			continue
		}
		for _, s := range spans {
			if a.from.Before(s.to) && a.to.After(s.from) {
				return true
			}
		}
	}
	return false
}

// counted is the control traffic of every process so far.
type counted map[string][]link.Traffic

func (f *labFleet) traffic(ctx context.Context) counted {
	out := counted{}
	for _, p := range f.lab.Routers() {
		if s, err := f.lab.RouterState(ctx, p); err == nil {
			out[string(p.Name)] = s.Traffic
		}
	}
	for _, p := range f.lab.Agents() {
		if s, err := f.lab.AgentState(ctx, p); err == nil {
			out[string(p.Name)] = s.Traffic
		}
	}
	return out
}

// traffic fills in the bytes a second that each node sends and reads.
func (r *Report) traffic(before, after counted, seconds float64) {
	r.ControlTypes = map[string]float64{}
	sum := 0.0
	for name, types := range after {
		old := map[string]link.Traffic{}
		for _, t := range before[name] {
			old[t.Type] = t
		}
		node := 0.0
		for _, t := range types {
			sent := float64(t.SentBytes-old[t.Type].SentBytes) / seconds
			read := float64(t.ReadBytes-old[t.Type].ReadBytes) / seconds
			r.ControlTypes[t.Type] += sent
			node += sent + read
		}
		sum += node
		r.ControlMax = max(r.ControlMax, node)
	}
	r.ControlMean = sum / float64(max(len(after), 1))
}

func (r Report) print(onlyJSON bool) error {
	if !onlyJSON {
		fmt.Printf("%s, %s, faults %s: gap p50 %.0f max %.0f ms (%.2f and %.2f of slots x cost), idle %.4f, control %.0f B/s\n",
			r.Profile, r.Policy, r.Faults, r.GapP50, r.GapMax, r.GapP50Unit, r.GapMaxUnit, r.IdleShare, r.ControlMax)
	}
	out, err := json.Marshal(r)
	if err != nil {
		return err
	}
	fmt.Println(string(out))
	return nil
}
