package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
)

// play is one day of one variant with one seed.
type play struct {
	Variant string `json:"variant"`
	Site    string `json:"site"`
	Day     string `json:"day"`
	Seed    uint64 `json:"seed"`
	Again   bool   `json:"again"` // the second play of the baseline

	result
}

// result is what the bench says of a play.
type result struct {
	Worth   float64            `json:"worth"`  // credit less prices, in parts of what was owed
	Served  float64            `json:"served"` // credit of the whole day, before prices
	Broken  []string           `json:"broken"` // rules, and faults of the processes
	Parts   map[string]float64 `json:"parts"`
	Prices  map[string]float64 `json:"prices"`
	Callers callers            `json:"callers"`
}

// benchReport is what is read of the bench's own report.
type benchReport struct {
	Worth  float64  `json:"G"`
	Served float64  `json:"served"`
	Fault  *string  `json:"fault"`
	First  []breach `json:"first"`  // the first breaches of each rule
	Parts  [][]any  `json:"parts"`  // name, weight, value
	Prices [][]any  `json:"prices"` // name, amount, worth taken off
}

// breach is one case of a broken rule.
type breach struct {
	Rule string `json:"rule"`
}

// run plays a day in the variant's copy and reads the report.
func (p *play) run(ctx context.Context, bench, dir, reports string) error {
	report := filepath.Join(reports, fmt.Sprintf("%s-%s-%s-%d-%t.json", p.Variant, filepath.Base(p.Site), p.Day, p.Seed, p.Again))
	cmd := exec.CommandContext(ctx, bench, "run", p.Site, p.Day, "--seed", fmt.Sprint(p.Seed), "--report", report,
		"--log", "all", "--why", fmt.Sprintf("experiment: variant %s on %s", p.Variant, p.Day))
	cmd.Dir = dir
	var said output
	cmd.Stdout, cmd.Stderr = &said, &said
	err := cmd.Run()
	out := said.text.Bytes()
	if writeErr := os.WriteFile(report+".txt", out, 0o644); writeErr != nil {
		return writeErr
	}
	p.Callers = said.callers
	body, readErr := os.ReadFile(report)
	if readErr != nil {
		return errors.Newf("%s, %s, seed %d: no report (%v): %s", p.Variant, p.Day, p.Seed, err, out)
	}
	return p.read(body)
}

// read takes over what the bench reported.
func (p *play) read(body []byte) error {
	var r benchReport
	if err := json.Unmarshal(body, &r); err != nil {
		return errors.Wrap(err, "report of the bench")
	}
	p.Worth, p.Served = r.Worth, r.Served
	if r.Fault != nil {
		p.Broken = append(p.Broken, *r.Fault)
	}
	for _, b := range r.First {
		if !slices.Contains(p.Broken, b.Rule) {
			p.Broken = append(p.Broken, b.Rule)
		}
	}
	p.Parts = named(r.Parts)
	p.Prices = named(r.Prices)
	return nil
}

// A row of the report is a name, an amount or weight, and a value.
const (
	rowName  = 0
	rowValue = 2
	rowCells = 3
)

// named turns rows of the report into values by name.
func named(rows [][]any) map[string]float64 {
	out := make(map[string]float64, len(rows))
	for _, row := range rows {
		if len(row) < rowCells {
			continue
		}
		name, okName := row[rowName].(string)
		value, okValue := row[rowValue].(float64)
		if okName && okValue {
			out[name] = value
		}
	}
	return out
}
