package e2e

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/croftvale/croftvale/relay"
	"github.com/croftvale/croftvale/standin/app"
	"github.com/croftvale/croftvale/standin/caller"
	"github.com/croftvale/croftvale/standin/engine"
	"github.com/stretchr/testify/require"
)

func TestWholePath(t *testing.T) {
	s := newSmall(t)
	t.Run("whole answer", func(t *testing.T) {
		a := s.complete(0, 5, false)
		require.Equal(t, caller.Served, a.Kind)
		require.False(t, a.Mixed)
		require.Equal(t, "yes", a.Ran)
	})
	t.Run("streamed answer", func(t *testing.T) {
		a := s.complete(1, 20, true)
		require.Equal(t, caller.Served, a.Kind)
		require.False(t, a.Mixed)
	})
	t.Run("app call with a streamed body", func(t *testing.T) {
		body := bytes.NewReader(bytes.Repeat([]byte("x"), 200<<10))
		a := s.caller.Call(context.Background(), "POST", s.url(0)+"/squad/7", body, nil)
		require.Equal(t, caller.Served, a.Kind)
		require.Equal(t, 1, s.record.Runs(a.Nonce))
	})
	t.Run("body above the limit", func(t *testing.T) {
		body := bytes.NewReader(make([]byte, maxBody+1))
		a := s.caller.Call(context.Background(), "POST", s.url(0)+"/squad/7", body, nil)
		require.Equal(t, http.StatusRequestEntityTooLarge, a.Status)
		require.Equal(t, "body_too_large", a.Reason)
		require.Equal(t, "no", a.Ran)
		require.Zero(t, s.record.Runs(a.Nonce))
	})
	t.Run("unknown key, work and header", s.refusals)
	t.Run("straight to an agent", s.straightToAgent)
	t.Run("1,000 idle connections", s.idleConnections)
	t.Run("operators' client", s.operatorsClient)
}

func (s *small) refusals(t *testing.T) {
	stranger := caller.New(caller.Team{Name: "nobody", Key: "wrong"})
	a := stranger.Complete(context.Background(), s.url(0), caller.Work{Tokens: 1})
	require.Equal(t, "unknown_key", a.Reason)
	a = s.caller.Call(context.Background(), "GET", s.url(0)+"/nowhere", nil, nil)
	require.Equal(t, "no_such_work", a.Reason)
	a = s.caller.Call(context.Background(), "GET", s.url(0)+"/squad/1", nil, map[string]string{relay.HeaderClass: "soon"})
	require.Equal(t, "bad_header", a.Reason)
}

// straightToAgent asks an agent without a grant.
func (s *small) straightToAgent(t *testing.T) {
	b := s.lab.Servers()[2]
	for _, claim := range []string{"", "app-0/1/1 0/0", "nonsense"} {
		req, err := http.NewRequest("GET", "http://"+b.Serve.String()+"/squad/1", nil)
		require.NoError(t, err)
		req.Header.Set(relay.HeaderClaim, claim)
		req.Header.Set(app.HeaderNonce, "straight")
		res, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		_ = res.Body.Close()
		require.Equal(t, "no", res.Header.Get(relay.HeaderRan))
	}
	require.Zero(t, s.record.Runs("straight"))
}

func (s *small) idleConnections(t *testing.T) {
	for range 1000 {
		c, err := net.Dial("tcp", strings.TrimPrefix(s.url(0), "http://"))
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
	}
	require.Equal(t, caller.Served, s.complete(0, 2, false).Kind)
}

// operatorsClient runs croftvale as operators do.
func (s *small) operatorsClient(t *testing.T) {
	run := func(args ...string) (string, error) {
		out, err := exec.Command(filepath.Join(bin, "croftvale"), args...).CombinedOutput()
		return string(out), err
	}
	admin := s.lab.Admin(s.lab.Routers()[0])
	out, err := run("bundle", "status", "--platform", s.lab.PlatformAddress(), admin)
	require.NoError(t, err, out)
	require.Contains(t, out, "rolled: generation 1 by lab")
	require.Contains(t, out, "engine-1")
	out, err = run("state", admin)
	require.NoError(t, err, out)
	require.NotContains(t, out, s.key, "a dump must not hold keys")
	out, err = run("bundle", "show", "--platform", s.lab.PlatformAddress())
	require.NoError(t, err, out)
	require.Contains(t, out, `"zurich"`)
	res, err := http.Get("http://" + admin + "/metrics")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	metrics, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Contains(t, string(metrics), "croftvale_served")
	require.Contains(t, string(metrics), "croftvale_platform_calls")
	_, err = run("bundle", "roll")
	var exit *exec.ExitError
	require.ErrorAs(t, err, &exit)
	require.Equal(t, 2, exit.ExitCode())
}

// TestCutAnswersAreNotPassedOff lets engines break off and end short.
func TestCutAnswersAreNotPassedOff(t *testing.T) {
	s := newSmall(t)
	for _, f := range []engine.Fault{engine.FaultCut, engine.FaultShort} {
		for _, e := range s.engines {
			e.SetFault(f)
		}
		require.Equal(t, caller.Broken, s.complete(0, 10, true).Kind)
	}
	for _, e := range s.engines {
		e.SetFault(engine.FaultCut)
	}
	require.Equal(t, caller.Broken, s.complete(0, 10, false).Kind)
}

// TestHangUpCancels holds that a caller's hang-up reaches the engine, and
// drops a request that still waits.
func TestHangUpCancels(t *testing.T) {
	s := newSmall(t)
	for _, e := range s.engines {
		e.SetFault(engine.FaultHang)
	}
	ctx, hangUp := context.WithCancel(context.Background())
	done := make(chan caller.Answer)
	const callers = 9 // one more than there are slots
	for range callers {
		go func() { done <- s.caller.Complete(ctx, s.url(0), caller.Work{Tokens: 5}) }()
	}
	running := func() int { return s.engines[0].Running() + s.engines[1].Running() }
	require.Eventually(t, func() bool { return running() == 8 }, patience, step)
	hangUp()
	for range callers {
		require.Equal(t, caller.GivenUp, (<-done).Kind)
	}
	require.Eventually(t, func() bool { return running() == 0 }, patience, step)
	require.Eventually(t, func() bool {
		st, err := s.lab.RouterState(context.Background(), s.lab.Routers()[0])
		return err == nil && st.Unfinished == 0
	}, patience, 10*time.Millisecond)
}

// TestUnrepeatableRunsOnce holds that a call whose connection closes without
// an answer is never sent again, by croftvale or by net/http under it, and
// that its caller is told the truth.
func TestUnrepeatableRunsOnce(t *testing.T) {
	s := newSmall(t)
	header := map[string]string{relay.HeaderRepeatable: "no"}
	for range 5 { // warm the connections that net/http might reuse
		a := s.caller.Call(context.Background(), "GET", s.url(0)+"/squad/1", nil, header)
		require.Equal(t, caller.Served, a.Kind)
	}
	s.app.SetClosing(true)
	for range 2 { // a third failure in a row would take the server out
		a := s.caller.Call(context.Background(), "GET", s.url(0)+"/squad/1", nil, header)
		require.Equal(t, "outcome_unknown", a.Reason)
		require.Equal(t, "unknown", a.Ran)
		require.Equal(t, 1, s.record.Runs(a.Nonce))
	}
}

// TestKeyThroughAnotherRouter holds that a caller who repeats a key through
// another router is not served twice, that a refused key may come again, and
// that a fleet which is too young to vouch says so.
func TestKeyThroughAnotherRouter(t *testing.T) {
	s := newSmall(t)
	call := func(router int, key, made string) caller.Answer {
		header := map[string]string{relay.HeaderIdempotencyKey: key, relay.HeaderKeyCreatedAt: made}
		return s.caller.Call(context.Background(), "POST", s.url(router)+"/squad/1", nil, header)
	}
	require.Equal(t, "idempotency_key_unsure", call(0, "k0", "").Reason, "the fleet has just started")
	now := time.Now().Add(time.Minute).Format(time.RFC3339Nano)
	first := call(0, "k1", now)
	require.Equal(t, caller.Served, first.Kind, first.Reason)
	again := call(1, "k1", now)
	require.Equal(t, "idempotency_key_in_use", again.Reason)
	require.Equal(t, "unknown", again.Ran)
	require.Zero(t, s.record.Runs(again.Nonce))
	require.Equal(t, caller.Served, call(1, "k2", now).Kind)
	require.Equal(t, "bad_header", call(1, "k3", "yesterday").Reason)
}
