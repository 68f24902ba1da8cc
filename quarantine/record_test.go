package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// barredBy returns suspects that have seen servers crash under a content.
func newBarred(c Fingerprint) *Suspects {
	s := &Suspects{}
	for i := range Server(CrashThreshold) {
		s.RecordCrash(at(0), c, i)
	}
	return s
}

// TestRecordBars has a router that has seen nothing read from the store what is barred.
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
	require.True(t, started.Barred(Retention, bad), "it counts as asked for when it was read")
}

// TestReleaseClears has an operator delete a record: its content is tried again, also at routers
// that are told of the old crashes once more.
func TestReleaseClears(t *testing.T) {
	a, b := newBarred(bad), newBarred(bad)
	a.SetRecorded(at(1), []Fingerprint{bad, harmless})
	require.True(t, a.Barred(at(1), harmless))
	a.SetRecorded(at(2), nil)
	require.False(t, a.Barred(at(2), bad))
	require.False(t, a.Barred(at(2), harmless))
	require.Empty(t, a.Unrecorded(), "it isn't recorded again")
	a.ApplyReports(at(3), b.TakeReports(at(3), 8))
	require.False(t, a.Barred(at(3), bad))
	b.ApplyReports(at(3), a.TakeReports(at(3), 8))
	require.False(t, b.Barred(at(3), bad), "the release was told")
}

// TestOutdatedRecords has contents that are listed and not barred any more: their records are
// to be removed, and don't bar them again meanwhile.
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

// TestAskingIsTold has a content be asked for at one router only: the others are told now and
// then, and don't forget it.
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

func TestParseFingerprint(t *testing.T) {
	for _, c := range []Fingerprint{1, bad, 1 << 63} {
		back, err := ParseFingerprint(c.String())
		require.NoError(t, err)
		require.Equal(t, c, back)
	}
	for _, text := range []string{"", "x", "1", "0000000000000000", "00000000000000001", "000000000000000G", "-000000000000001", "000000000000000A"} {
		_, err := ParseFingerprint(text)
		require.ErrorIs(t, err, ErrFingerprint, text)
	}
}
