package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	deadly Fingerprint = 0xdead
	common Fingerprint = 0xa0
	seldom Fingerprint = 0xb0
)

// partCrash returns the crash of a server of its own hall under a request of its own.
func partCrash(n int) Crash {
	return Crash{Server: Server(n), Hall: uint16(n), Request: uint16(n)}
}

// newLearned returns the state of a router that has had whole responses for some time.
func newLearned() Suspects {
	s := NewPartSuspects(nil)
	s.RecordWhole(time.Second, time.Second, 0xfff)
	return s
}

// moment returns the nth of several moments that are seconds apart.
func moment(n int) time.Duration { return time.Duration(n+1) * 5 * time.Second }

// TestPartIsBarredAfterThreeCrashes crashes servers under a part without any whole response. Crashes
// under a single request bar nothing.
func TestPartIsBarredAfterThreeCrashes(t *testing.T) {
	s := newLearned()
	for n := range 2 {
		s.RecordCrashOf(moment(n), partCrash(n), deadly)
		require.False(t, s.Barred(moment(n), deadly))
		require.Equal(t, n == 1, s.OneCrashFromBarred(deadly))
	}
	s.RecordCrashOf(moment(2), partCrash(2), deadly)
	require.True(t, s.Barred(moment(2), deadly))
	require.Equal(t, []Change{{Kind: Part, Fingerprint: deadly, Barred: true, Crashes: 3}}, s.TakeChanges())
	require.Empty(t, s.Unrecorded(), "it may still be released")
	s.Recheck(moment(3))
	require.Equal(t, []Fingerprint{deadly}, s.Unrecorded())
	one := newLearned()
	for n := range 6 {
		c := partCrash(n)
		c.Request = 1
		one.RecordCrashOf(moment(n), c, deadly)
	}
	require.False(t, one.Barred(moment(6), deadly))
}

// TestPartWithWholeResponsesNeedsFiveCrashes crashes servers under a part that had a whole response
// before. Crashes before a response that is whole later do not count.
func TestPartWithWholeResponsesNeedsFiveCrashes(t *testing.T) {
	s := newLearned()
	s.RecordWhole(moment(0), moment(0), deadly)
	for n := range 5 {
		require.False(t, s.Barred(moment(n), deadly))
		s.RecordCrashOf(moment(n+1), partCrash(n), deadly)
	}
	require.True(t, s.Barred(moment(5), deadly))
	s.RecordWhole(moment(6), moment(4)+time.Second, deadly)
	require.False(t, s.Barred(moment(6), deadly), "one crash is left")
	require.Equal(t, 1, s.Crashes(deadly))
}

// TestPartsOfHallAreNotBarred crashes all servers of a hall at once, all of which execute a part that
// had whole responses.
func TestPartsOfHallAreNotBarred(t *testing.T) {
	s := newLearned()
	s.RecordWhole(moment(0), moment(0), common)
	for n := range 16 {
		c := partCrash(n)
		c.Hall = 7
		s.RecordCrashOf(moment(1)+time.Duration(n)*time.Millisecond, c, common)
	}
	s.Recheck(moment(3))
	require.False(t, s.Barred(moment(3), common))
}

// TestCompanionsAreNotBarred has a part crash servers that is always together with two others. Those
// had whole responses before, and requests with one of them go on having them.
func TestCompanionsAreNotBarred(t *testing.T) {
	s := newLearned()
	s.RecordWhole(moment(0), moment(0), common, seldom)
	for n := range 8 {
		s.RecordCrashOf(moment(n), partCrash(n), common, deadly, seldom)
		s.RecordWhole(moment(n)+time.Second, moment(n)+time.Second/2, common)
	}
	require.True(t, s.Barred(moment(8), deadly))
	require.False(t, s.Barred(moment(8), common))
	require.False(t, s.Barred(moment(8), seldom), "explained by the deadly part")
}

// TestCompanionsAreNotBarredAfterAColdStart guards against sound parts that are barred together with the
// one that crashes servers: within seconds of the first whole responses of all, as many servers had crashed
// under each of them.
func TestCompanionsAreNotBarredAfterAColdStart(t *testing.T) {
	s := NewPartSuspects(nil)
	s.RecordWhole(time.Second, time.Second, common, seldom)
	for n := range 6 {
		s.RecordCrashOf(time.Second+time.Duration(n+1)*200*time.Millisecond, partCrash(n), common, deadly, seldom)
	}
	s.Recheck(time.Second + 1300*time.Millisecond)
	require.True(t, s.Barred(s.now, deadly))
	require.False(t, s.Barred(s.now, common))
	require.False(t, s.Barred(s.now, seldom))
}

// TestRareCauseAmongCrashesIsNotBarred has many servers crash by themselves, three of them under a
// part without whole responses.
func TestRareCauseAmongCrashesIsNotBarred(t *testing.T) {
	s := newLearned()
	for n := range 12 {
		s.RecordCrashOf(moment(0)+time.Duration(n)*time.Second, partCrash(n), Fingerprint(1000+n))
		if n%4 == 0 {
			s.RecordCrashOf(moment(0)+time.Duration(n)*time.Second, partCrash(n), deadly)
		}
	}
	require.Equal(t, 3, s.Crashes(deadly))
	require.False(t, s.Barred(moment(5), deadly))
}

// TestTrialTellsPartsApart bars two parts that were always together. A request with one of them is
// sent by a router in its turn. Its success releases that part, its crash the other one.
func TestTrialTellsPartsApart(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		s := newLearned()
		for n := range 3 {
			s.RecordCrashOf(moment(n), partCrash(n), seldom, deadly)
		}
		now := moment(2) + time.Second
		require.True(t, s.Barred(now, seldom) && s.Barred(now, deadly))
		alone := Candidate{Routers: 1}
		require.False(t, s.MayTry(now, alone, common, seldom, deadly), "it shows nothing")
		require.False(t, s.MayTry(now, alone, common, seldom), "the other part is not known to be sound")
		s.RecordWhole(now, now, common)
		require.True(t, s.MayTry(now, alone, common, seldom))
		turns := 0
		for rank := range 10 {
			if s.MayTry(now, Candidate{Rank: rank, Routers: 10}, seldom) {
				turns++
			}
		}
		require.Equal(t, trialRouters, turns, "routers whose turn it is")
		s.RecordTrial(now, seldom)
		require.False(t, s.MayTry(now, alone, seldom), "once in a turn")
		if crashes {
			s.RecordCrashOf(now, partCrash(3), seldom)
		} else {
			s.RecordWhole(now, now, seldom)
		}
		require.Equal(t, crashes, s.IsBarred(seldom))
		require.Equal(t, !crashes, s.IsBarred(deadly))
	}
}

// TestTrialReleasesCompanionOfTwoDeadlyParts guards against a sound part that stays barred after all routers have
// restarted: it was beside two deadly parts, one of them barred, and the other, of which nobody knows any
// whole response, did not count as a possible cause, so that no trial released it.
func TestTrialReleasesCompanionOfTwoDeadlyParts(t *testing.T) {
	const secondDeadly Fingerprint = 0xdeae
	s := NewPartSuspects(nil)
	s.RecordWhole(time.Second, time.Second, common)
	crash := func(n int, parts ...Fingerprint) {
		s.RecordCrashOf(time.Second+time.Duration(n+1)*150*time.Millisecond, partCrash(n), parts...)
	}
	for n := range 6 {
		crash(n, deadly, seldom)
	}
	for n := 6; n < 8; n++ {
		crash(n, deadly)
	}
	for n := 8; n < 10; n++ {
		crash(n, secondDeadly, seldom)
	}
	now := 4 * time.Second
	s.Recheck(now)
	require.True(t, s.Barred(now, deadly))
	require.True(t, s.Barred(now, seldom))
	require.False(t, s.Barred(now, secondDeadly))
	require.True(t, s.MayTry(now, Candidate{Routers: 1}, common, seldom))
	s.RecordTrial(now, common, seldom)
	s.RecordWhole(now, now, seldom)
	require.False(t, s.Barred(now, seldom))
	require.True(t, s.Barred(now, deadly))
}

// TestPartRecordOutlastsOldClearing lists a part as barred at a router that has served it before. What
// began before the part was listed releases nothing, what began later does.
func TestPartRecordOutlastsOldClearing(t *testing.T) {
	s := newLearned()
	s.SetRecorded(moment(1), []Fingerprint{deadly})
	s.RecordWhole(moment(2), moment(0), deadly)
	require.True(t, s.IsBarred(deadly))
	s.ApplyReports(moment(2), []Report{{Content: deadly, Cleared: true, ClearAge: ageOf(moment(2) - moment(0))}})
	require.True(t, s.IsBarred(deadly))
	s.RecordWhole(moment(3), moment(2), deadly)
	require.False(t, s.IsBarred(deadly))
	require.Equal(t, []Fingerprint{deadly}, s.Outdated())
}

// TestPartRetryAfter checks that callers return soon while a part may still be released.
func TestPartRetryAfter(t *testing.T) {
	s := newLearned()
	for n := range 3 {
		s.RecordCrashOf(moment(n), partCrash(n), deadly)
	}
	require.True(t, s.IsBarred(deadly))
	require.Equal(t, confirmationTime, s.RetryAfter(moment(2), deadly))
	require.Equal(t, Retention, s.RetryAfter(moment(3), deadly))
}

// TestSurvivorsPostponeBarring has a part that is barred at its fifth crash, unless requests with it
// survive. If these have cleared nothing a second later, it is barred.
func TestSurvivorsPostponeBarring(t *testing.T) {
	s := newLearned()
	s.RecordWhole(moment(0), moment(0), deadly)
	for n := range 5 {
		s.RecordCrashOf(moment(n+1), partCrash(n), deadly)
		s.RecordSurvivor(moment(n+1)+time.Second, moment(n+1)+time.Millisecond, deadly)
	}
	require.False(t, s.IsBarred(deadly))
	suspected := moment(5) + time.Second
	s.Recheck(suspected + maxSurvivorWait - time.Millisecond)
	require.False(t, s.IsBarred(deadly))
	s.Recheck(suspected + maxSurvivorWait)
	require.True(t, s.IsBarred(deadly))
}

// TestPartSetIsBounded adds thousands of parts, repeated and without ID.
func TestPartSetIsBounded(t *testing.T) {
	set := NewPartSet("red")
	for range 3 {
		for id := range uint64(5000) {
			set.Add(id)
		}
	}
	require.Len(t, set.Fingerprints(), maxPartsPerRequest+1)
	require.NotContains(t, set.Fingerprints(), Fingerprint(0))
	require.Contains(t, set.Fingerprints(), ManyPartsFingerprint("red"))
	require.NotEqual(t, ManyPartsFingerprint("red"), ManyPartsFingerprint("blue"))
}

// TestHistoryIsBounded records whole responses to many parts. The latest ones are remembered.
func TestHistoryIsBounded(t *testing.T) {
	var h history
	for f := range Fingerprint(5 * maxHistory) {
		h.record(f+1, time.Duration(f))
		require.LessOrEqual(t, len(h.recent)+len(h.older), 2*maxHistory)
	}
	for f := Fingerprint(4 * maxHistory); f < 5*maxHistory; f++ {
		_, ok := h.last(f + 1)
		require.True(t, ok)
	}
	_, ok := h.last(1)
	require.False(t, ok)
}

// TestPartMemoryIsBounded has hostile requests crash servers under thousands of parts each. The deadly
// part that they share stays known.
func TestPartMemoryIsBounded(t *testing.T) {
	s := newLearned()
	next := Fingerprint(1 << 32)
	for n := range 300 {
		set := NewPartSet("red")
		set.Add(uint64(deadly))
		for range 2000 {
			next++
			set.Add(uint64(next))
		}
		s.RecordCrashOf(moment(n), partCrash(n), set.Fingerprints()...)
		require.LessOrEqual(t, len(s.byFingerprint), maxSuspects)
		require.LessOrEqual(t, len(s.crashLog), maxCrashLog)
	}
	require.True(t, s.IsBarred(deadly))
	require.True(t, s.IsBarred(ManyPartsFingerprint("red")))
}

// TestPartReportsAgree has three routers observe crashes and whole responses in any order. Once they
// have exchanged all reports, none has a crash that another one has cleared, and all bar the same.
func TestPartReportsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		routers := []*Suspects{}
		for range 3 {
			s := newLearned()
			routers = append(routers, &s)
		}
		now := time.Second
		for n := range rapid.IntRange(1, 25).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond
			s := routers[rapid.IntRange(0, 2).Draw(rt, "router")]
			f := Fingerprint(rapid.IntRange(1, 4).Draw(rt, "part"))
			if rapid.IntRange(0, 3).Draw(rt, "whole") == 0 {
				s.RecordWhole(now, now, f)
			} else {
				s.RecordCrashOf(now, partCrash(n), f)
			}
		}
		now += 2 * time.Second
		for range 4 {
			for _, from := range routers {
				for _, x := range from.byFingerprint {
					x.sendsLeft = 1
				}
				reports := from.TakeReports(now, maxSuspects)
				for _, to := range routers {
					if to != from {
						to.ApplyReports(now, reports)
					}
				}
			}
		}
		now += 2 * time.Second
		for _, s := range routers {
			s.Recheck(now)
		}
		for f := Fingerprint(1); f <= 4; f++ {
			for _, s := range routers[1:] {
				require.Equal(rt, routers[0].Crashes(f), s.Crashes(f), "part %d", f)
			}
		}
	})
}

// BenchmarkBarredParts measures the check of a request with five shared parts while one other part is
// barred.
func BenchmarkBarredParts(b *testing.B) {
	s := newLearned()
	for n := range 3 {
		s.RecordCrashOf(moment(n), partCrash(n), deadly)
	}
	for b.Loop() {
		for f := Fingerprint(1); f <= 5; f++ {
			if s.Barred(moment(4), f) {
				b.Fatal("barred")
			}
		}
	}
}

// BenchmarkRecordWhole measures a whole response with five shared parts.
func BenchmarkRecordWhole(b *testing.B) {
	s := newLearned()
	now := time.Second
	for b.Loop() {
		now++
		s.RecordWhole(now, now, 1, 2, 3, 4, 5)
	}
}

// BenchmarkCrashOfManyParts measures the crash of a server while the state is full.
func BenchmarkCrashOfManyParts(b *testing.B) {
	s := newLearned()
	next := Fingerprint(1)
	n := 0
	for b.Loop() {
		n++
		fingerprints := make([]Fingerprint, maxPartsPerRequest)
		for i := range fingerprints {
			next++
			fingerprints[i] = next
		}
		s.RecordCrashOf(time.Duration(n)*time.Millisecond, partCrash(n), fingerprints...)
		s.IsBarred(1)
	}
}
