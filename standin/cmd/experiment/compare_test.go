package main

import (
	"testing"

	"github.com/croftvale/croftvale/gateway"
	"github.com/stretchr/testify/require"
)

func worth(variant, day string, seed uint64, again bool, w float64) play {
	return play{Variant: variant, Site: "s", Day: day, Seed: seed, Again: again, result: result{Worth: w}}
}

// TestCompareIsBeyondNoise compares a variant that gains more than the same code
// differs by, and one that does not.
func TestCompareIsBeyondNoise(t *testing.T) {
	base := []play{worth("base", "d", 1, false, 0.70), worth("base", "d", 2, false, 0.60), worth("base", "d", 3, false, 0.65)}
	again := []play{worth("base", "d", 1, true, 0.71), worth("base", "d", 2, true, 0.59), worth("base", "d", 3, true, 0.65)}
	better := []play{worth("new", "d", 1, false, 0.75), worth("new", "d", 2, false, 0.66), worth("new", "d", 3, false, 0.70)}
	c := compare("s", "new", better, base, again)
	require.InDelta(t, 0.0533, c.Difference, 0.001)
	require.True(t, c.certain())
	same := []play{worth("new", "d", 1, false, 0.705), worth("new", "d", 2, false, 0.60), worth("new", "d", 3, false, 0.652)}
	require.False(t, compare("s", "new", same, base, again).certain())
}

// TestReadReport reads the parts of a report that are compared.
func TestReadReport(t *testing.T) {
	var p play
	require.NoError(t, p.read([]byte(`{"G":0.8,"served":0.9,"fault":null,"first":[{"rule":"FAIR","at_s":3},{"rule":"FAIR","at_s":4}],
		"parts":[["whole day",0.45,0.9]],"prices":[["machine-seconds",270,0.01]]}`)))
	require.Equal(t, 0.8, p.Worth)
	require.Equal(t, []string{"FAIR"}, p.Broken)
	require.Equal(t, map[string]float64{"whole day": 0.9}, p.Parts)
	require.Equal(t, map[string]float64{"machine-seconds": 0.01}, p.Prices)
}

// TestParseVariant names the form that it expects.
func TestParseVariant(t *testing.T) {
	v, err := parseVariant("lean=../x:loads,yield")
	require.NoError(t, err)
	require.Equal(t, variant{Name: "lean", Dir: "../x", Without: []string{"loads", "yield"}}, v)
	_, err = parseVariant("lean")
	require.ErrorContains(t, err, "NAME=DIR")
}

// TestOutputAddsUpAccounts reads what a bench prints in pieces: its own words are kept, and
// the routers' accounts added up.
func TestOutputAddsUpAccounts(t *testing.T) {
	var o output
	text := "built in 3 s\n  1.0 edge-1 {\"process\":\"edge-1\",\"event\":\"accounts\",\"teams\":{\"red\":{\"first_in_time\":2}},\"routes\":{\"r\":{\"first_in_time\":2}}}\n" +
		"  1.1 edge-2 {\"process\":\"edge-2\",\"event\":\"accounts\",\"teams\":{\"red\":{\"first_in_time\":3,\"held_ms\":7}}}\n" +
		"  1.2 edge-2 {\"process\":\"edge-2\",\"event\":\"vitals\"}\nworth 0.5\n"
	for i := 0; i < len(text); i += 7 {
		_, err := o.Write([]byte(text[i:min(i+7, len(text))]))
		require.NoError(t, err)
	}
	require.Equal(t, "built in 3 s\nworth 0.5\n", o.text.String())
	require.Equal(t, gateway.OutcomeCounts{FirstOnTime: 5, UnservedMS: 7}, o.callers.all())
	require.EqualValues(t, 2, o.callers.Routes["r"].FirstOnTime)
}
