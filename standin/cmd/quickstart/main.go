// Command quickstart shows croftvale's main job in less than a minute: it
// starts two routers and five agents as processes of their own, with stand-ins
// for the platform and the backend servers, rolls a bundle, and lets teams with
// shares 2 and 1 flood the fleet while a small team asks now and then.
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
	Seconds int  `default:"12" help:"Seconds of load."`
	Keep    bool `help:"Leave the fleet running after the table, and print lines to try, until Ctrl-C."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("quickstart"), kong.Description("Shows teams with shares 2 and 1 and a small one on a whole fleet."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, c); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c cli) error {
	dir, err := os.MkdirTemp("", "croftvale-quickstart-")
	if err != nil {
		return errors.Wrap(err, "make a folder")
	}
	f, err := startFleet(ctx, dir)
	if err != nil {
		return errors.Wrapf(err, "logs are in %s", dir)
	}
	defer f.lab.Close()
	load := newLoad(f)
	load.run(ctx, time.Duration(c.Seconds)*time.Second)
	verdict := load.report()
	if c.Keep {
		f.keep(ctx)
	}
	if verdict == nil {
		return os.RemoveAll(dir)
	}
	return errors.Wrapf(verdict, "logs are in %s", dir)
}
