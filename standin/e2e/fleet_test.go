package e2e

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"github.com/croftvale/croftvale/agent"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/operate"
	"github.com/croftvale/croftvale/router"
	"github.com/croftvale/croftvale/standin/app"
	"github.com/croftvale/croftvale/standin/caller"
	"github.com/croftvale/croftvale/standin/engine"
	"github.com/croftvale/croftvale/standin/lab"
	"github.com/croftvale/croftvale/standin/record"
	"github.com/croftvale/croftvale/tomlfile"
	"github.com/stretchr/testify/require"
)

// linked keeps the daemons' code in the test's binary, so that the go command
// does not take results for current that an older daemon gave.
var linked = []any{router.New, agent.New, operate.CurrentBundle}

// bin is the folder with the daemon, built once.
var bin string

func TestMain(m *testing.M) {
	runtime.KeepAlive(linked)
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "croftvale-e2e-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := lab.Build(dir, "github.com/croftvale/croftvale/cmd/croftvaled", "github.com/croftvale/croftvale/cmd/croftvale"); err != nil {
		panic(err)
	}
	bin = dir
	return m.Run()
}

const (
	patience = 20 * time.Second
	step     = 2 * time.Millisecond
	maxBody  = 256 << 10
)

// small is a fleet of two routers, two engines and an app server.
type small struct {
	t       *testing.T
	lab     *lab.Lab
	record  *record.Recorder
	engines []*engine.Engine
	app     *app.App
	key     string
	caller  *caller.Caller
	bundle  bundle.Bundle
}

func newSmall(t *testing.T) *small {
	t.Helper()
	return newSmallWith(t, t.TempDir(), nil)
}

func newSmallWith(t *testing.T, dir string, keys *lab.Authority) *small {
	t.Helper()
	l, err := lab.New(lab.Config{Dir: dir, Bin: bin, Poll: 200 * time.Millisecond, Drain: patience, Keys: keys, LogLevel: "debug"})
	require.NoError(t, err)
	t.Cleanup(func() {
		l.Close()
		noRaces(t, dir)
	})
	s := &small{t: t, lab: l, record: &record.Recorder{}}
	s.addServers()
	for i := range 2 {
		require.NoError(t, l.AddRouter(fleet.Name(fmt.Sprintf("router-%d", i)), i))
	}
	s.roll()
	return s
}

// noRaces holds that no process reported a data race, where the tests run with
// GOFLAGS=-race, which the daemons are then built with too.
func noRaces(t *testing.T, dir string) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	require.NoError(t, err)
	for _, path := range logs {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NotContains(t, string(text), "DATA RACE", path)
	}
}

func (s *small) addServers() {
	for i := range 2 {
		e := engine.New(engine.Config{Slots: 4, Step: step, CacheSize: 4}, s.record)
		s.engines = append(s.engines, e)
		require.NoError(s.t, s.lab.AddServer(lab.Server{
			Name: fleet.Name(fmt.Sprintf("engine-%d", i)), Hall: i, Slots: 4,
			Works: []fleet.Work{"report"}, Handler: e,
		}))
	}
	s.app = app.New(step, s.record)
	require.NoError(s.t, s.lab.AddServer(lab.Server{
		Name: "app-0", Slots: 4, Works: []fleet.Work{"pages", "lookups"}, Handler: s.app,
	}))
}

func (s *small) roll() {
	key, hash := operate.NewTeamKey()
	s.key = key
	s.caller = caller.New(caller.Team{Name: "zurich", Key: key})
	s.bundle = bundle.Bundle{
		Limits: bundle.Limits{MaxBody: tomlfile.Size(maxBody)},
		Teams:  []bundle.Team{{Name: "zurich", Share: 1, Keys: []string{hash}}},
		Works: []bundle.Work{
			{Name: "report", Kind: bundle.KindModel, Method: "POST", Path: "/v1/completions", Repeatable: true},
			{Name: "pages", Kind: bundle.KindApp, Path: "/squad/*"},
			{Name: "lookups", Kind: bundle.KindApp, Path: "/lookup/*", Repeatable: true},
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := s.lab.Roll(ctx, s.bundle)
	require.NoError(s.t, err)
	require.NoError(s.t, s.lab.WaitReady(ctx))
}

// url returns where the n-th router takes requests.
func (s *small) url(n int) string { return s.lab.URL(s.lab.Routers()[n]) }

func (s *small) complete(router, tokens int, stream bool) caller.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return s.caller.Complete(ctx, s.url(router), caller.Work{Tokens: tokens, Stream: stream})
}
