package direct

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestParseDisabledMechanisms reads every mechanism, and names what there is where a name is
// wrong.
func TestParseDisabledMechanisms(t *testing.T) {
	for _, m := range mechanisms {
		w, err := ParseDisabledMechanisms(string(m))
		require.NoError(t, err)
		require.False(t, w.Enabled(m))
	}
	w, err := ParseDisabledMechanisms("loads, ejection")
	require.NoError(t, err)
	require.Equal(t, "loads,ejection", w.String())
	require.True(t, w.Enabled(Locality))
	_, err = ParseDisabledMechanisms("lods")
	require.ErrorIs(t, err, ErrUnknownMechanism)
	require.ErrorContains(t, err, "ejection")
}
