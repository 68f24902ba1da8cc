package e2e

import (
	"context"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/croftvale/croftvale/standin/caller"
	"github.com/croftvale/croftvale/standin/engine"
	"github.com/croftvale/croftvale/standin/lab"
	"github.com/stretchr/testify/require"
)

// load asks one router from several callers until it is stopped.
type load struct {
	answers chan caller.Answer
	stop    atomic.Bool
	wg      sync.WaitGroup
}

func (s *small) load(router, callers int) *load {
	l := &load{answers: make(chan caller.Answer, 1<<16)}
	for i := range callers {
		l.wg.Go(func() {
			for !l.stop.Load() {
				l.answers <- s.complete(router, 20, i%2 == 0)
			}
		})
	}
	return l
}

// end stops the load and returns how many answers of each kind there were.
func (l *load) end() map[caller.Kind]int {
	l.stop.Store(true)
	l.wg.Wait()
	close(l.answers)
	kinds := map[caller.Kind]int{}
	for a := range l.answers {
		if a.Mixed {
			kinds[caller.Broken]++
		}
		kinds[a.Kind]++
	}
	return kinds
}

func exitsCleanly(t *testing.T, p *lab.Process) {
	t.Helper()
	code, ended := p.Wait(patience)
	require.True(t, ended, "%s did not end", p.Name)
	require.Zero(t, code)
}

// TestAgentStopCutsNothing stops an agent under load: what it runs ends well,
// and the others take over.
func TestAgentStopCutsNothing(t *testing.T) {
	s := newSmall(t)
	l := s.load(0, 12)
	require.Eventually(t, func() bool { return s.engines[0].Running() == 4 }, patience, step)
	p := s.lab.Process("engine-0")
	p.Signal(syscall.SIGTERM)
	exitsCleanly(t, p)
	kinds := l.end()
	require.Zero(t, kinds[caller.Broken])
	require.Zero(t, kinds[caller.GivenUp])
	require.Zero(t, kinds[caller.Refused])
	require.Positive(t, kinds[caller.Served])
}

// TestRouterStopCutsNothing stops a router under load: every request that it
// took is answered whole, and new ones are refused or find nobody.
func TestRouterStopCutsNothing(t *testing.T) {
	s := newSmall(t)
	var mu sync.Mutex
	var got []caller.Answer
	var wg sync.WaitGroup
	for range 12 {
		wg.Go(func() {
			a := s.complete(0, 100, true)
			mu.Lock()
			defer mu.Unlock()
			got = append(got, a)
		})
	}
	p := s.lab.Routers()[0]
	require.Eventually(t, func() bool {
		st, err := s.lab.RouterState(context.Background(), p)
		return err == nil && st.Unfinished == 12
	}, patience, step)
	p.Signal(syscall.SIGTERM)
	wg.Wait()
	exitsCleanly(t, p)
	for _, a := range got {
		require.Equal(t, caller.Served, a.Kind)
	}
}

// TestSecondSignalEndsAtOnce holds that an operator can end a stop that takes
// too long.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	s := newSmall(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.caller.Complete(ctx, s.url(0), caller.Work{Tokens: 100_000})
	p := s.lab.Routers()[0]
	require.Eventually(t, func() bool {
		st, err := s.lab.RouterState(context.Background(), p)
		return err == nil && st.Unfinished == 1
	}, patience, step)
	p.Signal(syscall.SIGTERM)
	require.Eventually(t, func() bool {
		st, err := s.lab.RouterState(context.Background(), p)
		return err == nil && st.Leaving
	}, patience, step)
	p.Signal(syscall.SIGTERM)
	code, ended := p.Wait(patience)
	require.True(t, ended)
	require.Equal(t, 1, code)
	text, err := os.ReadFile(p.Log())
	require.NoError(t, err)
	require.Contains(t, string(text), `"running":1,"waiting":0,"message":"requests are cut"`)
}

// awaitKnown waits until one router knows of another by the platform's list of hosts. A
// router that nobody knows, and that starts while the platform is away, knows nobody either:
// it waits for the platform.
func (s *small) awaitKnown(by, router *lab.Process) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		st, err := s.lab.RouterState(context.Background(), by)
		return err == nil && slices.Contains(st.Hosts, router.Name)
	}, patience, step)
}

// TestPlatformOutage holds that nothing in force stops when the platform does,
// and that a router which starts anew in the outage learns the bundle from a
// peer that knows it.
func TestPlatformOutage(t *testing.T) {
	s := newSmall(t)
	l := s.load(0, 6)
	restarted := s.lab.Routers()[1]
	s.awaitKnown(s.lab.Routers()[0], restarted)
	s.lab.Platform.SetOutage(true)
	restarted.Kill()
	require.NoError(t, restarted.Start())
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.NoError(t, s.lab.WaitReady(ctx))
	require.Equal(t, caller.Served, s.complete(1, 2, false).Kind)
	kinds := l.end()
	require.Equal(t, kinds[caller.Served], kinds[caller.Served]+kinds[caller.Broken]+kinds[caller.Refused]+kinds[caller.GivenUp])
	s.lab.Platform.SetOutage(false)
	require.Eventually(t, func() bool {
		st, err := s.lab.RouterState(context.Background(), restarted)
		return err == nil && st.PlatformOK
	}, patience, 50*time.Millisecond)
}

// TestKillsLoseNothingSilently kills agents under load: repeatable requests
// are run elsewhere, and only answers that had begun may break.
func TestKillsLoseNothingSilently(t *testing.T) {
	s := newSmall(t)
	l := s.load(0, 12)
	for range 3 {
		p := s.lab.Process("engine-0")
		require.Eventually(t, func() bool { return s.engines[0].Running() > 0 }, patience, step)
		p.Kill()
		require.NoError(t, p.Start())
	}
	kinds := l.end()
	require.Zero(t, kinds[caller.GivenUp])
	require.LessOrEqual(t, kinds[caller.Broken], 3*4)
	require.Positive(t, kinds[caller.Served])
}

// TestDeadServerIsLeftAlone lets a server die under load: its agent takes no
// more work, the other server goes on, and it is used again when it is well.
func TestDeadServerIsLeftAlone(t *testing.T) {
	s := newSmall(t)
	s.engines[0].SetFault(engine.FaultDie)
	agent := s.lab.Process("engine-0")
	serving := func() bool {
		st, err := s.lab.AgentState(context.Background(), agent)
		return err == nil && st.Serving
	}
	require.Eventually(t, func() bool { return !serving() }, patience, 20*time.Millisecond)
	for range 20 {
		require.Equal(t, caller.Served, s.complete(0, 2, false).Kind)
	}
	s.engines[0].SetFault(engine.FaultNone)
	require.Eventually(t, serving, patience, 20*time.Millisecond)
}

// TestBusyServerIsLeftAlone has a server turn requests away and ask for none for two seconds: what
// was granted to its agent before it knew may still come, and all others are served elsewhere.
func TestBusyServerIsLeftAlone(t *testing.T) {
	s := newSmall(t)
	busy := s.engines[0]
	busy.SetFault(engine.FaultBusy)
	var told time.Time
	for i := 0; told.IsZero(); i++ {
		require.Less(t, i, 100, "the server was never asked")
		s.complete(0, 2, false)
		if busy.TurnedAway() > 0 {
			told = time.Now()
		}
	}
	agent := s.lab.Process("engine-0")
	serving := func() bool {
		st, err := s.lab.AgentState(context.Background(), agent)
		return err == nil && st.Serving
	}
	require.Eventually(t, func() bool { return !serving() }, patience, 5*time.Millisecond)
	before := busy.TurnedAway()
	for time.Since(told) < engine.BusyFor*3/4 {
		require.Equal(t, caller.Served, s.complete(0, 2, false).Kind)
	}
	require.Equal(t, before, busy.TurnedAway())
	busy.SetFault(engine.FaultNone)
	require.Eventually(t, serving, patience, 20*time.Millisecond)
}
