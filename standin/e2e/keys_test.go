package e2e

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/croftvale/croftvale/standin/caller"
	"github.com/croftvale/croftvale/standin/lab"
	"github.com/stretchr/testify/require"
)

// TestKeys runs a fleet with TLS between its processes: it serves, refuses a
// process with another authority's certificate, an expired one and one of
// another name, and takes new keys without a restart.
func TestKeys(t *testing.T) {
	dir := t.TempDir()
	ours, err := lab.NewAuthority(dir, "ours")
	require.NoError(t, err)
	s := newSmallWith(t, dir, ours)
	require.Equal(t, caller.Served, s.complete(0, 5, true).Kind)

	strange, err := lab.NewAuthority(t.TempDir(), "theirs")
	require.NoError(t, err)
	victim := s.lab.Process("engine-0")
	soon := time.Now().Add(time.Hour)

	t.Run("another authority", func(t *testing.T) {
		other, err := strange.Issue("engine-0", "agent", soon)
		require.NoError(t, err)
		s.copyKeys(t, dir, "engine-0", other.Cert, other.Key)
		s.restartAlone(t, victim)
	})
	t.Run("expired", func(t *testing.T) {
		_, err := ours.Issue("engine-0", "agent", time.Now().Add(-time.Minute))
		require.NoError(t, err)
		s.restartAlone(t, victim)
	})
	t.Run("another name", func(t *testing.T) {
		other, err := ours.Issue("impostor", "agent", soon)
		require.NoError(t, err)
		s.copyKeys(t, dir, "engine-0", other.Cert, other.Key)
		s.restartAlone(t, victim)
	})
	t.Run("new keys without a restart", func(t *testing.T) {
		_, err := ours.Issue("engine-0", "agent", soon)
		require.NoError(t, err)
		pid := victim.PID()
		require.Eventually(t, func() bool { return s.linked("engine-0") }, patience, 50*time.Millisecond)
		require.Equal(t, pid, victim.PID())
		require.Equal(t, caller.Served, s.complete(0, 5, false).Kind)
	})
	t.Run("no key in logs or dumps", func(t *testing.T) {
		logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
		require.NoError(t, err)
		require.NotEmpty(t, logs)
		for _, path := range logs {
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NotContains(t, string(text), "PRIVATE KEY")
			require.NotContains(t, string(text), s.key)
		}
	})
}

func (s *small) copyKeys(t *testing.T, dir, name, cert, key string) {
	t.Helper()
	for from, to := range map[string]string{cert: name + ".crt", key: name + ".key"} {
		data, err := os.ReadFile(from)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(dir, to), data, 0o600))
	}
}

// restartAlone restarts an agent and holds that no router links to it, while
// the fleet goes on without it.
func (s *small) restartAlone(t *testing.T, p *lab.Process) {
	t.Helper()
	p.Kill()
	require.NoError(t, p.Start())
	require.Eventually(t, func() bool { return !s.linked(string(p.Name)) }, patience, 20*time.Millisecond)
	require.Never(t, func() bool { return s.linked(string(p.Name)) }, time.Second, 50*time.Millisecond)
	require.Equal(t, caller.Served, s.complete(0, 5, false).Kind)
}

// linked tells whether a router has a link to an agent.
func (s *small) linked(agent string) bool {
	for _, r := range s.lab.Routers() {
		st, err := s.lab.RouterState(context.Background(), r)
		if err != nil {
			continue
		}
		for _, p := range st.Peers {
			if string(p.Name) == agent {
				return true
			}
		}
	}
	return false
}
