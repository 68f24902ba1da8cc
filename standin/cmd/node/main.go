// Command node is croftvaled with a lab's distances on its connections. The
// load tool runs it; operators run croftvaled.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/croftvale/croftvale/agent"
	"github.com/croftvale/croftvale/router"
	"github.com/croftvale/croftvale/settings"
	"github.com/croftvale/croftvale/standin/delay"
	"github.com/phuslu/log"
)

type cli struct {
	Router routerCmd `cmd:""`
	Agent  agentCmd  `cmd:""`
}

type routerCmd struct {
	Settings string        `required:""`
	OneWay   time.Duration `env:"LAB_ONE_WAY"`
	Cuts     string        `env:"LAB_CUTS"`
}

type agentCmd struct {
	Settings string `required:""`
}

func main() {
	var c cli
	if err := kong.Parse(&c).Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Run runs a router at its distances.
func (c routerCmd) Run() error {
	s, err := settings.LoadRouter(c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	hall := delay.HallOf(s.Listen.String())
	d := delay.NewDialer(hall, c.OneWay, delay.WatchCuts(c.Cuts))
	r, err := router.New(s, logger(s.Process), router.WithDial(d.DialContext))
	if err != nil {
		return err
	}
	return r.Run(ctx)
}

// Run runs an agent; it dials nothing but its own server.
func (c agentCmd) Run() error {
	s, err := settings.LoadAgent(c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	a, err := agent.New(s, logger(s.Process))
	if err != nil {
		return err
	}
	return a.Run(ctx)
}

func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM)
}

func logger(p settings.Process) *log.Logger {
	return &log.Logger{
		Level:   log.ParseLevel(p.LogLevel()),
		Context: log.NewContext(nil).Str("process", string(p.Name)).Value(),
		Writer:  &log.IOWriter{Writer: os.Stderr},
	}
}
