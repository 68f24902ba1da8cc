package quarantine

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkPartMemory reports the memory of a full state of parts.
func BenchmarkPartMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		s := NewPartSuspects(nil)
		for f := range Fingerprint(2 * maxHistory) {
			s.RecordWhole(time.Second, time.Second, f+1)
		}
		history := heapBytes()
		for n := range maxSuspects {
			for crash := range 3 {
				s.RecordCrashOf(time.Duration(n+2)*time.Second, partCrash(n+crash), Fingerprint(1<<32+n))
			}
		}
		s.refresh()
		full := heapBytes()
		b.ReportMetric(float64(history-before), "history-B")
		b.ReportMetric(float64(full-history), "suspects-B")
		runtime.KeepAlive(s)
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
