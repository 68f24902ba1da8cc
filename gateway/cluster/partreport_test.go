package cluster

import (
	"testing"

	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
)

// TestPartReportsAreRead encodes reports and decodes them, whole and cut off at each byte.
func TestPartReportsAreRead(t *testing.T) {
	reports := samplePartReports()
	packed := packPartReports(reports)
	require.Equal(t, reports, unpackPartReports(packed))
	for n := range packed {
		got := unpackPartReports(packed[:n])
		require.Equal(t, reports[:len(got)], append([]quarantine.Report{}, got...), "the first %d bytes", n)
	}
}

// TestPartReportsKeepTheLastCrashes encodes a report with more crashes than fit into one.
func TestPartReportsKeepTheLastCrashes(t *testing.T) {
	r := quarantine.Report{Content: 1}
	for i := range quarantine.Server(partMaxCrashes + 3) {
		r.Crashes = append(r.Crashes, quarantine.CrashReport{Server: i})
	}
	got := unpackPartReports(packPartReports([]quarantine.Report{r}))
	require.Len(t, got, 1)
	require.Equal(t, r.Crashes[3:], got[0].Crashes)
}
