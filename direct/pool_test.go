package direct

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAbsurdCapacityIsForgotten guards against a pool whose reading speed is no number any more, and all
// estimates with it, once a configuration has named an absurd capacity.
func TestAbsurdCapacityIsForgotten(t *testing.T) {
	h := newHarness(t, 1)
	config := Config{Version: 2, Services: []Service{{Name: "new", Engine: &Engine{Slots: 8, KVTokens: 100000}}}, Limits: Limits{TokensPerSecond: math.MaxFloat64}}
	h.list(Directory{Revision: 2, Servers: []Server{{ID: "n0", Service: "new", Slots: 8}}})
	h.m.Update(ConfigMsg{Now: h.now, Config: config})
	config.Version, config.Limits.TokensPerSecond = 3, 50000
	h.m.Update(ConfigMsg{Now: h.now, Config: config})
	r := h.request("red")
	r.Service = "new"
	h.sent(h.arrive(r))
	h.advance(100 * time.Millisecond)
	h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID})
	require.LessOrEqual(t, h.m.pools["new"].tokenRate, maxTokenRate)
}
