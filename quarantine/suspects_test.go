package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	bad      Fingerprint = 1
	harmless Fingerprint = 2
)

// at returns a time in seconds, relative to a point well after a router's start.
func at(seconds float64) time.Duration {
	return time.Hour + time.Duration(seconds*float64(time.Second))
}

// TestThreeCrashesBar verifies that a fingerprint is barred once three servers crashed under
// it, until it has not been requested for the whole retention.
func TestThreeCrashesBar(t *testing.T) {
	var s Suspects
	require.False(t, s.Barred(at(0), bad))
	s.RecordCrash(at(0), bad, 10)
	s.RecordCrash(at(0.1), bad, 10) // second report of the same crash
	require.False(t, s.OneCrashFromBarred(bad))
	s.RecordCrash(at(3), bad, 11)
	require.False(t, s.Barred(at(3), bad))
	require.True(t, s.OneCrashFromBarred(bad))
	s.RecordCrash(at(6), bad, 12)
	require.True(t, s.Barred(at(6), bad))
	require.Equal(t, []Change{{Fingerprint: bad, Barred: true, Crashes: 3}}, s.TakeChanges())
	require.Empty(t, s.TakeChanges())
	require.False(t, s.Barred(at(6), harmless))

	last := at(6) + Retention - time.Second
	s.Expire(last)
	require.True(t, s.Barred(last, bad), "a request just before expiry extends the retention")
	s.Expire(last + Retention)
	require.True(t, s.Barred(last+Retention, bad))
	s.Expire(last + 2*Retention + time.Second)
	require.False(t, s.Barred(last+2*Retention+time.Second, bad))
	require.Equal(t, []Change{{Fingerprint: bad, Barred: false, Crashes: 0}}, s.TakeChanges())
	require.Zero(t, s.Digest())
	require.Empty(t, s.byFingerprint)
	require.Empty(t, s.byServer)
}

// TestServerCrashesTwice verifies that a server that restarts and crashes again before its
// restart is known counts as another crash.
func TestServerCrashesTwice(t *testing.T) {
	var s Suspects
	for i := range CrashThreshold {
		s.RecordCrash(at(3*float64(i)), bad, 10)
	}
	require.True(t, s.Barred(at(9), bad))
	require.Len(t, s.byServer[10], 1)
	s.RecordSuccess(at(10), bad)
	require.Empty(t, s.byServer)
}

// TestAnswerClears verifies that a response after two crashes clears them.
func TestAnswerClears(t *testing.T) {
	var s Suspects
	s.RecordCrash(at(0), harmless, 10)
	s.RecordCrash(at(1), harmless, 11)
	s.RecordSuccess(at(2), harmless)
	s.RecordCrash(at(3), harmless, 12)
	require.Equal(t, 1, s.Crashes(harmless))
	require.False(t, s.Barred(at(3), harmless))
	s.RecordSuccess(at(4), bad) // has no recorded crashes
	require.Len(t, s.byFingerprint, 1)
}

// TestConcurrentRequestIsNotBarred verifies that a request is not barred if it was running
// whenever servers crashed under another one that has more crashes. Without such a difference
// both are barred.
func TestConcurrentRequestIsNotBarred(t *testing.T) {
	var s Suspects
	for i := range Server(3) {
		s.RecordCrash(at(float64(i)), bad, 10+i)
		s.RecordCrash(at(float64(i)), harmless, 10+i)
	}
	require.True(t, s.Barred(at(3), harmless), "both have the same crashes")
	s.RecordCrash(at(4), bad, 20)
	require.True(t, s.Barred(at(4), bad))
	require.False(t, s.Barred(at(4), harmless), "all its crashes are explained by the other")

	var later Suspects
	for i := range Server(4) {
		later.RecordCrash(at(float64(i)), bad, 10+i)
		if i > 0 {
			later.RecordCrash(at(float64(i)), harmless, 10+i)
		}
	}
	require.True(t, later.Barred(at(4), bad))
	require.False(t, later.Barred(at(4), harmless))
}

// TestReleasedFingerprintThatCrashesAlone guards against a fingerprint that needs three more
// crashes after its release. Two requests crash the same six servers of a service within ten
// milliseconds; one is barred and released 65 ms later ("quarantine_begun", then
// "quarantine_ended"), since the other has more crashes and explains these. One more crash
// without the other must bar it again.
func TestReleasedFingerprintThatCrashesAlone(t *testing.T) {
	const other Fingerprint = 3
	var s Suspects
	for i := range Server(6) {
		s.RecordCrash(at(0), other, 10+i)
		if i < CrashThreshold {
			s.RecordCrash(at(0), bad, 10+i)
		}
	}
	require.True(t, s.Barred(at(0.1), other))
	require.False(t, s.Barred(at(0.1), bad), "its crashes are explained by the other")
	require.True(t, s.OneCrashFromBarred(bad))
	s.RecordCrash(at(5), bad, 20)
	require.True(t, s.Barred(at(5), bad), "the crash has no other explanation")

	var twice Suspects
	for i := range Server(4) {
		twice.RecordCrash(at(0), other, 10+i)
	}
	twice.RecordCrash(at(0), harmless, 10)
	twice.RecordCrash(at(0), harmless, 11)
	twice.RecordCrash(at(5), harmless, 20)
	require.False(t, twice.Barred(at(5), harmless), "below the threshold, one unexplained crash is not enough")
}

// TestSuspectsAreBounded verifies that with far more crashes than suspects are kept, the one
// with the most crashes is kept.
func TestSuspectsAreBounded(t *testing.T) {
	var s Suspects
	for i := range Server(CrashThreshold) {
		s.RecordCrash(at(0), bad, i)
	}
	for i := range 3 * maxSuspects {
		s.RecordCrash(at(1), Fingerprint(100+i), Server(1000+i))
	}
	require.LessOrEqual(t, len(s.byFingerprint), maxSuspects)
	require.Greater(t, len(s.byFingerprint), maxSuspects/2)
	require.LessOrEqual(t, len(s.byServer), maxSuspects+CrashThreshold)
	require.True(t, s.Barred(at(1), bad))
	for i := range 3 * maxCrashesKept {
		s.RecordCrash(at(2), harmless, Server(1e6+i))
	}
	require.Equal(t, maxCrashesKept, s.Crashes(harmless))
}

// BenchmarkBarred measures the cost for each request with thousands of suspects: 20 ns.
func BenchmarkBarred(b *testing.B) {
	var s Suspects
	for i := range maxSuspects {
		s.RecordCrash(at(1), Fingerprint(100+i), Server(1000+i))
	}
	for b.Loop() {
		s.Barred(at(2), bad)
	}
}
