package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

// behave serves a request in one of the ways in which servers behave: at once, after silence, in parts, not at
// all, or with a response that breaks off.
func behave(random *rand.Rand, stream bool, w http.ResponseWriter, r *http.Request) {
	silence := time.Duration(random.IntN(250)) * time.Millisecond
	switch random.IntN(10) {
	case 0:
		pause(r, silence/4)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case 1:
		pause(r, silence/4)
		panic(http.ErrAbortHandler)
	case 2:
		pause(r, 10*time.Second)
		return
	case 3, 4, 5:
		if !pause(r, silence) {
			return
		}
	}
	if !stream {
		fmt.Fprint(w, r.Header.Get("X-Id"))
		return
	}
	startStream(w)
	for n := nextEvent(r); n <= 6; n++ {
		sendEvents(w, n, n)
		switch random.IntN(20) {
		case 0:
			panic(http.ErrAbortHandler)
		case 1:
			pause(r, 10*time.Second)
			return
		case 2, 3:
			if !pause(r, time.Second+silence) {
				return
			}
		}
	}
}

// TestStressSilentServers has many requests at servers that fall silent, decline and break at random. Each must
// get one answer in order, nothing may be left running, and the machine's counts must return to zero.
func TestStressSilentServers(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprint("stream=", stream), func(t *testing.T) {
			var mu sync.Mutex
			seeds := rand.New(rand.NewPCG(1, 1))
			edit := func(r *direct.Route) {
				r.Objective, r.Timeout, r.Attempts = 60*time.Millisecond, 3*time.Second, 3
				if stream {
					r.Kind = direct.Stream
				}
			}
			f := newSilenceFront(t, 6, edit, func(_ int, w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				random := rand.New(rand.NewPCG(seeds.Uint64(), 1))
				mu.Unlock()
				behave(random, stream, w, r)
			})
			requireSoundUnderStress(t, f, stream)
		})
	}
}

// requireSoundUnderStress sends many requests. Each must get one answer in order, nothing may be left running, and
// the machine's counts must return to zero.
func requireSoundUnderStress(t *testing.T, f *silenceFront, stream bool) {
	goroutines := runtime.NumGoroutine()
	var count sync.Map
	var mu sync.Mutex
	var all sync.WaitGroup
	var whole, cut, left, failed int
	for c := range 60 {
		all.Go(func() {
			random := rand.New(rand.NewPCG(uint64(c), 2))
			for n := range 12 {
				id := fmt.Sprintf("c%d-%d", c, n)
				ctx, stop := context.WithCancel(t.Context())
				if random.IntN(8) == 0 {
					time.AfterFunc(time.Duration(random.IntN(1500))*time.Millisecond, stop)
				}
				status, body, err := f.get(ctx, id)
				gone := ctx.Err() != nil
				stop()
				mu.Lock()
				switch {
				case gone:
					left++
				case stream && status == http.StatusOK && err == nil && body == wholeStream(6):
					whole++
				case stream && status == http.StatusOK && err != nil && strings.HasPrefix(wholeStream(6), body):
					cut++
				case !stream && status == http.StatusOK && body == id && err == nil:
					whole++
				case err == nil && (status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout):
					failed++
				default:
					t.Errorf("%s: status %d, body %q, error %v", id, status, body, err)
				}
				mu.Unlock()
				count.Store(id, true)
			}
		})
	}
	all.Wait()
	t.Logf("%d whole, %d cut, %d failed, %d callers left", whole, cut, failed, left)
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	require.Eventually(t, func() bool { return f.active.Load() == 0 }, 10*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		f.core.mu.Lock()
		defer f.core.mu.Unlock()
		return len(f.core.waiters) == 0 && len(f.core.aborters) == 0
	}, 10*time.Second, 10*time.Millisecond, "waiters or aborters are left")
	for _, s := range f.core.serverStates() {
		require.Zero(t, s.Running, "%+v", s)
		require.Zero(t, s.Pending, "%+v", s)
	}
	require.Eventually(t, func() bool {
		n := int64(0)
		for _, s := range f.servers {
			n += s.running.Load()
		}
		return n == 0
	}, 15*time.Second, 20*time.Millisecond, "servers still work")
	f.pool.Sweep(func(string) bool { return false })
	require.Eventually(t, func() bool { return runtime.NumGoroutine() <= goroutines+10 }, 15*time.Second, 50*time.Millisecond,
		"goroutines: %d before, %d after", goroutines, runtime.NumGoroutine())
}

// TestStressReports has many streams at servers whose reports fall silent, break off, close their connections or
// tell another start at random, beside the ways in which servers behave. A backup may take over meanwhile.
func TestStressReports(t *testing.T) {
	var mu sync.Mutex
	seeds := rand.New(rand.NewPCG(2, 1))
	edit := func(r *direct.Route) { r.Objective, r.Timeout, r.Attempts = 60*time.Millisecond, 3*time.Second, 3 }
	f := newStartFront(t, 6, edit, func(_ int, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		random := rand.New(rand.NewPCG(seeds.Uint64(), 1))
		mu.Unlock()
		if !isReport(r) {
			behave(random, true, w, r)
			return
		}
		switch random.IntN(10) {
		case 0:
			pause(r, time.Duration(random.IntN(400))*time.Millisecond)
			panic(http.ErrAbortHandler)
		case 1:
			pause(r, 10*time.Second)
		case 2:
			w.Header().Set("Connection", "close")
			sendStart(w, entryStart)
		case 3:
			sendStart(w, entryStart+1)
		case 4, 5:
			if pause(r, time.Duration(random.IntN(400))*time.Millisecond) {
				sendStart(w, entryStart)
			}
		default:
			sendStart(w, entryStart)
		}
	})
	requireSoundUnderStress(t, f, true)
}
