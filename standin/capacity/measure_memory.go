package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/once"
	"github.com/croftvale/croftvale/queue"
)

// heap returns how many bytes of memory one of n things takes.
func heap(n int, build func() any) float64 {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / float64(n)
}

func (s *Slopes) measureMemory() {
	const many = 20_000
	s.RequestMemory = heap(many, func() any {
		m := queue.New(queue.Config{MaxWaiting: 1 << 30, MaxWait: time.Hour})
		m.Update(queue.AgentUpMsg{Now: 1, Agent: "a", Works: []fleet.Work{"report"}})
		for i := range many {
			m.Update(queue.ArriveMsg{Now: 1, Request: queue.Request{ID: queue.RequestID(i + 1), Key: key(i % 50)}})
		}
		return m
	})
	s.LinkMemory = linkMemory()
	s.LifeMemory = heap(500, func() any { h, _ := fullHub(500); return h })
	s.TeamMemory = heap(int(TwoYears.Teams), func() any { return busyAgent() })
	s.BundleMemory = heap(1, func() any { return fullBundle() })
	s.BaseMemory = baseMemory
	s.KeyMemory = heap(many, func() any {
		m := once.NewKeyTable(once.KeyTableConfig{Self: "a"})
		for i := range many {
			m.Update(once.ReserveMsg{Now: 1, Key: once.NewKey("t", "w", fmt.Sprint(i)), Holder: once.Holder{Router: "r", Request: uint64(i)}})
		}
		return m
	})
}
