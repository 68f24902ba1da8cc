// Command load puts a profile's load on a whole fleet of processes, brings
// faults about, and judges fairness, utilisation, control traffic and answers.
// Its last line is one JSON object.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

type cli struct {
	Profile string        `default:"gradinfeld" enum:"gradinfeld,bouwuren" help:"Whose fleet and load."`
	Seconds int           `default:"20" help:"Seconds measured, after the warm-up."`
	Warm    int           `default:"8" help:"Seconds of warm-up: teams start together, and it takes a few rounds until they run apart evenly."`
	Seed    uint64        `default:"1" help:"Seed of costs and arrivals."`
	Policy  string        `default:"fleet" enum:"fleet,local,fifo" help:"How agents pick a team."`
	Faults  string        `default:"none" enum:"none,kill,cut,freeze,outage,all" help:"What goes wrong during the measurement."`
	JSON    bool          `help:"Print nothing but the JSON object."`
	Plot    string        `help:"File for a drawing of service by team over time (.png or .svg)."`
	Prefer  string        `default:"gap" enum:"gap,bytes" help:"The bundle's policy.prefer."`
	Delta   time.Duration `help:"The bundle's policy.delta."`
	Every   time.Duration `help:"The bundle's policy.share_every."`
	Ahead   int           `default:"-1" help:"The bundle's policy.claim_ahead; -1 takes the default, 0 none."`
	Keep    string        `help:"Folder for settings and logs, which are then kept."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("load"), kong.Description("Loads a fleet, breaks it, and judges it."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, c); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c cli) error {
	dir, cleanup, err := folder(c.Keep)
	if err != nil {
		return err
	}
	defer cleanup()
	f, err := startFleet(ctx, c, dir)
	if err != nil {
		return err
	}
	defer f.lab.Close()
	report := Report{Profile: c.Profile, Policy: c.Policy, Faults: c.Faults, Seed: c.Seed, Seconds: c.Seconds}
	f.measureOverhead(ctx, &report)
	f.measureSpread(ctx, c, &report)
	f.measureLoad(ctx, c, &report)
	if c.Plot != "" {
		if err := draw(c.Plot, f.judge.samples, f.profile.backlogged()); err != nil {
			return err
		}
	}
	return report.print(c.JSON)
}

func folder(keep string) (string, func(), error) {
	if keep != "" {
		return keep, func() {}, errors.Wrap(os.MkdirAll(keep, 0o755), "make folder")
	}
	dir, err := os.MkdirTemp("", "croftvale-load-")
	return dir, func() { _ = os.RemoveAll(dir) }, errors.Wrap(err, "make folder")
}
