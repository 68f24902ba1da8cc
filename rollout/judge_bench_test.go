package rollout

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkJudge looks at the answers of a hundred routes in three halls, of which each look brings
// new ones of ten: a second of a busy service has about twenty looks.
func BenchmarkJudge(b *testing.B) {
	const routes, halls, changed = 100, 3, 10
	judge := NewJudge()
	all := cells{}
	for evaluation := range b.N {
		for i := range changed {
			for hall := range halls {
				for kind := range 4 {
					route := fmt.Sprint("route-", (evaluation*changed+i)%routes)
					all.count(cellKey{route, fmt.Sprint("hall-", hall), kind < 2, kind%2 == 0}, Tally{Good: 5})
				}
			}
		}
		counts := cells{}
		counts.add(all)
		judge.evaluate(time.Duration(evaluation)*TickInterval/2, counts)
	}
}
