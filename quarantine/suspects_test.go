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

// at is a time, in seconds, well after a router's start.
func at(seconds float64) time.Duration {
	return time.Hour + time.Duration(seconds*float64(time.Second))
}

// TestThreeCrashesBar has three servers crash under one content: from then on it is refused,
// until it has not been asked for as long as it is remembered.
func TestThreeCrashesBar(t *testing.T) {
	var s Suspects
	require.False(t, s.Barred(at(0), bad))
	s.RecordCrash(at(0), bad, 10)
	s.RecordCrash(at(0.1), bad, 10) // the same crash, seen twice
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
	require.True(t, s.Barred(last, bad), "asked for again")
	s.Expire(last + Retention)
	require.True(t, s.Barred(last+Retention, bad))
	s.Expire(last + 2*Retention + time.Second)
	require.False(t, s.Barred(last+2*Retention+time.Second, bad))
	require.Equal(t, []Change{{Fingerprint: bad, Barred: false, Crashes: 0}}, s.TakeChanges())
	require.Zero(t, s.Digest())
	require.Empty(t, s.byFingerprint)
	require.Empty(t, s.byServer)
}

// TestServerCrashesTwice has a server be back and crash again before anybody knows that it has
// started anew: that is another crash.
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

// TestAnswerClears has a content be answered after two crashes: they were not its doing.
func TestAnswerClears(t *testing.T) {
	var s Suspects
	s.RecordCrash(at(0), harmless, 10)
	s.RecordCrash(at(1), harmless, 11)
	s.RecordSuccess(at(2), harmless)
	s.RecordCrash(at(3), harmless, 12)
	require.Equal(t, 1, s.Crashes(harmless))
	require.False(t, s.Barred(at(3), harmless))
	s.RecordSuccess(at(4), bad) // of whom nothing is known
	require.Len(t, s.byFingerprint, 1)
}

// TestCompanyIsNotBlamed has a request be there whenever servers crash under another one that
// has crashed more. It is not barred; where nothing tells the two apart, both are.
func TestConcurrentRequestIsNotBarred(t *testing.T) {
	var s Suspects
	for i := range Server(3) {
		s.RecordCrash(at(float64(i)), bad, 10+i)
		s.RecordCrash(at(float64(i)), harmless, 10+i)
	}
	require.True(t, s.Barred(at(3), harmless), "nothing tells them apart")
	s.RecordCrash(at(4), bad, 20)
	require.True(t, s.Barred(at(4), bad))
	require.False(t, s.Barred(at(4), harmless), "the other explains all its crashes")

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

// TestReleasedContentThatCrashesAlone has two contents end the same servers at once, as on a day when
// two requests ended all six of a service within ten milliseconds: "quarantine_begun" of the one, and
// 65 ms later "quarantine_ended", since the other had seen more crashes and explained these. The one
// that was released needed as many crashes again as one of which nothing is known; one more by
// itself must do.
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
	require.False(t, s.Barred(at(0.1), bad), "the other explains its crashes")
	require.True(t, s.OneCrashFromBarred(bad))
	s.RecordCrash(at(5), bad, 20)
	require.True(t, s.Barred(at(5), bad), "nothing else was there")

	var twice Suspects
	for i := range Server(4) {
		twice.RecordCrash(at(0), other, 10+i)
	}
	twice.RecordCrash(at(0), harmless, 10)
	twice.RecordCrash(at(0), harmless, 11)
	twice.RecordCrash(at(5), harmless, 20)
	require.False(t, twice.Barred(at(5), harmless), "one crash more than another explains may happen by itself")
}

// TestSuspectsAreFew has far more servers crash than contents are kept: what has crashed most is
// kept.
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

// BenchmarkBarred is what each request pays while thousands of contents are suspected: 20 ns.
func BenchmarkBarred(b *testing.B) {
	var s Suspects
	for i := range maxSuspects {
		s.RecordCrash(at(1), Fingerprint(100+i), Server(1000+i))
	}
	for b.Loop() {
		s.Barred(at(2), bad)
	}
}
