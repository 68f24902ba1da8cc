package direct

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestParseWithout reads every mechanism, and names what there is where a name is
// wrong.
func TestParseWithout(t *testing.T) {
	for _, m := range mechanisms {
		w, err := ParseWithout(string(m))
		require.NoError(t, err)
		require.False(t, w.Uses(m))
	}
	w, err := ParseWithout("loads, ejection")
	require.NoError(t, err)
	require.Equal(t, "loads,ejection", w.String())
	require.True(t, w.Uses(Locality))
	_, err = ParseWithout("lods")
	require.ErrorIs(t, err, ErrMechanism)
	require.ErrorContains(t, err, "ejection")
}
