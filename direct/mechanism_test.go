package direct

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestParseDisabledMechanisms parses every mechanism, and checks that the error for an unknown
// name lists the known ones.
func TestParseDisabledMechanisms(t *testing.T) {
	for _, m := range mechanisms {
		disabled, err := ParseDisabledMechanisms(string(m))
		require.NoError(t, err)
		require.False(t, disabled.Enabled(m))
	}
	disabled, err := ParseDisabledMechanisms("loads, ejection")
	require.NoError(t, err)
	require.Equal(t, "loads,ejection", disabled.String())
	require.True(t, disabled.Enabled(Locality))
	_, err = ParseDisabledMechanisms("lods")
	require.ErrorIs(t, err, ErrUnknownMechanism)
	require.ErrorContains(t, err, "ejection")
}
