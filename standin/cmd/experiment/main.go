package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

type options struct {
	Bench   string   `required:"" type:"existingfile" help:"Program that plays days."`
	Site    []string `required:"" type:"existingfile" help:"Deployment; may be given more than once."`
	Days    []string `required:"" help:"Names of its days."`
	Seeds   []uint64 `required:"" help:"Seeds; each day is played with each."`
	Variant []string `required:"" help:"NAME=DIR or NAME=DIR:MECHANISM,MECHANISM; the first is the baseline."`
	Once    bool     `help:"Play the baseline once only; no noise is measured then."`
	Jobs    int      `default:"4" help:"Plays at the same time."`
	Work    string   `required:"" type:"path" help:"Empty directory for copies, reports and results."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Compare variants of the router on a bench, seed by seed."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := o.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (o *options) run(ctx context.Context) error {
	variants, err := o.prepare(ctx)
	if err != nil {
		return err
	}
	plays, err := o.playAll(ctx, variants)
	if err != nil {
		return err
	}
	body, err := json.MarshalIndent(plays, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(o.Work, "plays.json"), body, 0o644); err != nil {
		return err
	}
	table(os.Stdout, o.Site, variants, plays)
	return draw(filepath.Join(o.Work, "worth.png"), variants, plays)
}

// prepare copies and builds every variant.
func (o *options) prepare(ctx context.Context) ([]variant, error) {
	if err := os.MkdirAll(o.Work, 0o755); err != nil {
		return nil, err
	}
	var out []variant
	for _, text := range o.Variant {
		v, err := parseVariant(text)
		if err != nil {
			return nil, err
		}
		if v, err = v.prepare(o.Work); err != nil {
			return nil, err
		}
		build := exec.CommandContext(ctx, o.Bench, "build")
		build.Dir = v.Dir
		if text, err := build.CombinedOutput(); err != nil {
			return nil, errors.Newf("build variant %s: %s", v.Name, text)
		}
		out = append(out, v)
	}
	return out, nil
}

// playAll plays every variant on every day with every seed, a few at a time.
func (o *options) playAll(ctx context.Context, variants []variant) ([]play, error) {
	dirs := make(map[string]string)
	for _, v := range variants {
		dirs[v.Name] = v.Dir
	}
	plays := o.schedule(variants)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	next := make(chan *play)
	for range max(o.Jobs, 1) {
		wg.Go(func() {
			for p := range next {
				err := p.run(ctx, o.Bench, dirs[p.Variant], o.Work)
				mu.Lock()
				failed = errors.CombineErrors(failed, err)
				mu.Unlock()
				fmt.Fprintf(os.Stderr, "%s %s %s %d: worth %.3f %v\n", p.Variant, siteName(p.Site), p.Day, p.Seed, p.Worth, p.Broken)
			}
		})
	}
	for i := range plays {
		next <- &plays[i]
	}
	close(next)
	wg.Wait()
	return plays, failed
}

// schedule lists the plays, those of one day and seed beside each other, so that
// a busy machine strikes all variants alike.
func (o *options) schedule(variants []variant) []play {
	var out []play
	for _, site := range o.Site {
		for _, day := range o.Days {
			for _, seed := range o.Seeds {
				for i, v := range variants {
					out = append(out, play{Variant: v.Name, Site: site, Day: day, Seed: seed})
					if i == 0 && !o.Once {
						out = append(out, play{Variant: v.Name, Site: site, Day: day, Seed: seed, Again: true})
					}
				}
			}
		}
	}
	slices.SortStableFunc(out, func(a, b play) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Day, b.Day), cmp.Compare(a.Seed, b.Seed))
	})
	return out
}
