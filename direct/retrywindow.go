package direct

import "time"

const (
	retryBucketWidth = 500 * time.Millisecond
	retryBuckets     = 64
)

// RetryBudgetOptions limit the retries for a service across the fleet: in each Window, at most
// Ratio of the requests plus Slack.
type RetryBudgetOptions struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// retryBudgetMargin is the fraction of the fleet's budget that all routers use together. It
// keeps the sum of their windows, which are not aligned, within the budget.
const retryBudgetMargin = 0.8

// retryWindow counts one router's requests and retries for one service, in buckets of
// retryBucketWidth.
type retryWindow struct {
	requests [retryBuckets]int
	retries  [retryBuckets]int
	newest   int64 // number of the newest bucket, counted from time 0
}

func (w *retryWindow) advance(now time.Duration) int64 {
	n := int64(now / retryBucketWidth)
	if n-w.newest > retryBuckets {
		w.newest = n - retryBuckets
	}
	for w.newest < n {
		w.newest++
		w.requests[w.newest%retryBuckets] = 0
		w.retries[w.newest%retryBuckets] = 0
	}
	return n
}

func (w *retryWindow) addRequest(now time.Duration) { w.requests[w.advance(now)%retryBuckets]++ }

// trySpend takes one retry from this router's part of the budget and reports whether one was
// left.
func (w *retryWindow) trySpend(now time.Duration, o RetryBudgetOptions, routers int) bool {
	if !w.hasLeft(now, o, routers) {
		return false
	}
	w.retries[w.newest%retryBuckets]++
	return true
}

// hasLeft reports whether a retry is left in this router's part of the budget.
func (w *retryWindow) hasLeft(now time.Duration, o RetryBudgetOptions, routers int) bool {
	n := w.advance(now)
	buckets := min(int64(o.Window/retryBucketWidth)+1, retryBuckets-1)
	requests, retries := 0, 0
	for i := n - buckets + 1; i <= n; i++ {
		if i < 0 {
			continue
		}
		requests += w.requests[i%retryBuckets]
		retries += w.retries[i%retryBuckets]
	}
	allowed := retryBudgetMargin * (o.Ratio*float64(requests) + o.Slack/float64(max(routers, 1)))
	return float64(retries)+1 <= allowed
}

// giveBack returns a retry that was spent a moment ago and reached no server.
func (w *retryWindow) giveBack() {
	if i := w.newest % retryBuckets; w.retries[i] > 0 {
		w.retries[i]--
	}
}
