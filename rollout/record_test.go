package rollout

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRecordedAgeDoesNotOverflow guards against an old order that becomes a new one, with all its time left, since the
// time of its record overflows.
func TestRecordedAgeDoesNotOverflow(t *testing.T) {
	now, limit := time.Unix(1_800_000_000, 0), time.Hour
	for _, wall := range []time.Time{{}, time.UnixMilli(math.MinInt64), time.Unix(-9e9, 0), now.Add(-limit)} {
		for _, age := range []time.Duration{0, time.Minute, 100 * 365 * 24 * time.Hour, math.MaxInt64} {
			record := Record{Age: age, Wall: wall}
			require.GreaterOrEqual(t, record.ageAt(now, limit), limit, "%s at %s", age, wall)
		}
	}
	record := Record{Age: time.Minute, Wall: now.Add(-time.Second)}
	require.Equal(t, 61*time.Second, record.ageAt(now, limit))
	record.Wall = time.UnixMilli(math.MaxInt64)
	require.Equal(t, time.Minute, record.ageAt(now, limit), "the clocks differ")
}
