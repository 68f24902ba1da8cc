package direct

import "time"

const (
	retryBucketWidth = 500 * time.Millisecond
	retryBuckets     = 64
)

// RetryBudgetOptions bound the retries at a service over the whole fleet: in each
// Window at most Ratio of the requests, and Slack more.
type RetryBudgetOptions struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// retryBudgetMargin is the part of the fleet's budget that routers use together, so
// that windows of different routers cannot add up to more.
const retryBudgetMargin = 0.8

// retryWindow counts the requests and retries of one router at one service.
type retryWindow struct {
	requests [retryBuckets]int
	retries  [retryBuckets]int
	newest   int64 // number of the newest bucket
}

func (b *retryWindow) advance(now time.Duration) int64 {
	n := int64(now / retryBucketWidth)
	if n-b.newest > retryBuckets {
		b.newest = n - retryBuckets
	}
	for b.newest < n {
		b.newest++
		b.requests[b.newest%retryBuckets] = 0
		b.retries[b.newest%retryBuckets] = 0
	}
	return n
}

func (b *retryWindow) addRequest(now time.Duration) { b.requests[b.advance(now)%retryBuckets]++ }

// trySpend takes one retry from this router's part of the budget, and tells
// whether there was one.
func (b *retryWindow) trySpend(now time.Duration, o RetryBudgetOptions, routers int) bool {
	n := b.advance(now)
	buckets := min(int64(o.Window/retryBucketWidth)+1, retryBuckets-1)
	requests, retries := 0, 0
	for i := n - buckets + 1; i <= n; i++ {
		if i < 0 {
			continue
		}
		requests += b.requests[i%retryBuckets]
		retries += b.retries[i%retryBuckets]
	}
	allowed := retryBudgetMargin * (o.Ratio*float64(requests) + o.Slack/float64(max(routers, 1)))
	if float64(retries)+1 > allowed {
		return false
	}
	b.retries[n%retryBuckets]++
	return true
}
