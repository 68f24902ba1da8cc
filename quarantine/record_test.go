package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newBarred returns suspects in which f is barred by crashes.
func newBarred(f Fingerprint) *Suspects {
	s := &Suspects{}
	for i := range Server(CrashThreshold) {
		s.RecordCrash(at(0), f, i)
	}
	return s
}

// TestRecordBars verifies that a router without observations of its own bars what the store lists.
func TestRecordBars(t *testing.T) {
	seen := newBarred(bad)
	require.Equal(t, []Fingerprint{bad}, seen.Unrecorded())
	seen.SetRecorded(at(1), []Fingerprint{bad})
	require.Empty(t, seen.Unrecorded())
	require.Empty(t, seen.Outdated())

	var started Suspects
	started.SetRecorded(time.Second, []Fingerprint{bad})
	require.True(t, started.Barred(time.Second, bad))
	require.Empty(t, started.Unrecorded())
	require.Equal(t, seen.Digest(), started.Digest())
	started.Expire(Retention)
	require.True(t, started.Barred(Retention, bad), "reading the record counts as a request")
}

// TestReleaseClears verifies that after an operator deletes a record its requests are sent
// again, also if another router reports the old crashes once more.
func TestReleaseClears(t *testing.T) {
	a, b := newBarred(bad), newBarred(bad)
	a.SetRecorded(at(1), []Fingerprint{bad, harmless})
	require.True(t, a.Barred(at(1), harmless))
	a.SetRecorded(at(2), nil)
	require.False(t, a.Barred(at(2), bad))
	require.False(t, a.Barred(at(2), harmless))
	require.Empty(t, a.Unrecorded(), "a released fingerprint must not be recorded again")
	a.ApplyReports(at(3), b.TakeReports(at(3), 8))
	require.False(t, a.Barred(at(3), bad))
	b.ApplyReports(at(3), a.TakeReports(at(3), 8))
	require.False(t, b.Barred(at(3), bad), "the release must be reported")
}

// TestOutdatedRecords verifies that listed fingerprints that are no longer barred are
// returned for removal, and that their records do not bar them again meanwhile.
func TestOutdatedRecords(t *testing.T) {
	s := newBarred(bad)
	s.SetRecorded(at(1), []Fingerprint{bad, harmless})
	s.RecordSuccess(at(2), bad)
	require.Equal(t, []Fingerprint{bad}, s.Outdated())
	s.SetRecorded(at(3), []Fingerprint{bad, harmless, 7})
	require.False(t, s.Barred(at(3), bad))
	s.Expire(at(4) + Retention)
	require.Equal(t, []Fingerprint{bad, harmless, 7}, s.Outdated())
	s.SetRecorded(at(5)+Retention, nil)
	require.Empty(t, s.Outdated())
}

// TestRefusalsAreReported verifies that routers keep a barred fingerprint that is requested at
// another router only: the refusals are reported from time to time.
func TestRefusalsAreReported(t *testing.T) {
	refusing, other := newBarred(bad), &Suspects{}
	now := at(0)
	for range 40 {
		now += Retention / 10
		require.True(t, refusing.Barred(now, bad))
		other.ApplyReports(now, refusing.TakeReports(now, 8))
		refusing.Expire(now)
		other.Expire(now)
		require.Equal(t, refusing.Digest(), other.Digest())
	}
	require.Empty(t, refusing.TakeReports(now, 8))
}

// TestParseFingerprint verifies that only the output of String is accepted.
func TestParseFingerprint(t *testing.T) {
	for _, f := range []Fingerprint{1, bad, 1 << 63} {
		back, err := ParseFingerprint(f.String())
		require.NoError(t, err)
		require.Equal(t, f, back)
	}
	for _, text := range []string{"", "x", "1", "0000000000000000", "00000000000000001", "000000000000000G", "-000000000000001", "000000000000000A"} {
		_, err := ParseFingerprint(text)
		require.ErrorIs(t, err, ErrFingerprint, text)
	}
}
