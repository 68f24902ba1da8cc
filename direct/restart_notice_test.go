package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNoticeOfNewStartOutlivesTheOldEntry guards against requests that reach a server which has asked for none,
// since it said so before its entry: the notice counted for its former start.
func TestNoticeOfNewStartOutlivesTheOldEntry(t *testing.T) {
	for name, notice := range map[string]Notice{"backoff": {Backoff: 5 * time.Second}, "leaving": {Leaving: true}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 0)
			h.list(startsDirectory(2, "v1", 1))
			r := h.request("red")
			h.sent(h.arrive(r))
			h.reach(r.ID, OtherIncarnation, true)
			h.m.Update(NoticeMsg{Now: h.now, Server: "n-0@1", Notice: notice, OfNextStart: true})
			h.end(r.ID, NotRun, false)
			h.advance(300 * time.Millisecond)
			h.list(startsDirectory(3, "v2", 2))
			h.advance(time.Second)
			_, sent := findCmd[SendCmd](h.arrive(h.request("red")))
			require.False(t, sent)
		})
	}
}
