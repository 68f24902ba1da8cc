// Command croftvaled is the daemon of a croftvale fleet: a router on an entry
// host, or the agent beside one backend server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/croftvale/croftvale/agent"
	"github.com/croftvale/croftvale/router"
	"github.com/croftvale/croftvale/settings"
	"github.com/phuslu/log"
)

// version is set at build time by -ldflags "-X main.version=...".
var version = "dev"

// Exit codes, as the operators' page lists them.
const (
	exitFailed = 1
	exitUsage  = 2
)

type cli struct {
	Router  routerCmd        `cmd:"" help:"Run a router on an entry host."`
	Gateway gatewayCmd       `cmd:"" help:"Run a router that calls backend servers itself, on the users' platform."`
	Agent   agentCmd         `cmd:"" help:"Run the agent beside one backend server."`
	Check   checkCmd         `cmd:"" help:"Check a settings file and say what it would run."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

type routerCmd struct {
	Settings string `required:"" type:"path" help:"TOML settings file of the router."`
}

type agentCmd struct {
	Settings string `required:"" type:"path" help:"TOML settings file of the agent."`
}

type checkCmd struct {
	Settings string `required:"" type:"path" help:"TOML settings file to check."`
}

func main() {
	// A hang-up that comes before the settings are read must not end the process.
	signal.Ignore(syscall.SIGHUP)
	var c cli
	parser := kong.Must(&c,
		kong.Name("croftvaled"),
		kong.Description("Routers and agents that share the capacity of backend servers fairly between teams."),
		kong.Vars{"version": version},
		kong.UsageOnError(),
	)
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%s", err)
		os.Exit(exitUsage)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// Run runs a router until a signal.
func (c routerCmd) Run() error {
	s, err := settings.LoadRouter(c.Settings)
	if err != nil {
		return err
	}
	logger := newLogger(s.Process)
	r, err := router.New(s, logger)
	if err != nil {
		return err
	}
	return r.Run(untilSignal(r.LogAbortedRequests))
}

// Run runs an agent until a signal.
func (c agentCmd) Run() error {
	s, err := settings.LoadAgent(c.Settings)
	if err != nil {
		return err
	}
	logger := newLogger(s.Process)
	a, err := agent.New(s, logger)
	if err != nil {
		return err
	}
	return a.Run(untilSignal(a.LogAbortedRequests))
}

// Run checks a settings file of either role.
func (c checkCmd) Run() error {
	text, err := settings.Check(c.Settings)
	if err != nil {
		return err
	}
	fmt.Println(text)
	return nil
}

func newLogger(p settings.Process) *log.Logger {
	return &log.Logger{
		Level:   log.ParseLevel(p.LogLevel()),
		Context: log.NewContext(nil).Str("process", string(p.Name)).Value(),
		Writer:  &log.IOWriter{Writer: os.Stderr},
	}
}

// untilSignal returns a context that the first SIGTERM or SIGINT ends. A
// second signal has what is cut logged and ends the process.
func untilSignal(logCut func()) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		logCut()
		os.Exit(exitFailed)
	}()
	return ctx
}
