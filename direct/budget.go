package direct

import "time"

const (
	budgetBucket  = 500 * time.Millisecond
	budgetBuckets = 64
)

// RetryBudgetOptions bound the retries at a service over the whole fleet: in each
// Window at most Ratio of the requests, and Slack more.
type RetryBudgetOptions struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// budgetMargin is the part of the fleet's budget that routers use together, so
// that windows of different routers cannot add up to more.
const budgetMargin = 0.8

// budget counts the requests and retries of one router at one service.
type budget struct {
	firsts  [budgetBuckets]int
	retries [budgetBuckets]int
	at      int64 // number of the newest bucket
}

func (b *budget) advance(now time.Duration) int64 {
	n := int64(now / budgetBucket)
	if n-b.at > budgetBuckets {
		b.at = n - budgetBuckets
	}
	for b.at < n {
		b.at++
		b.firsts[b.at%budgetBuckets] = 0
		b.retries[b.at%budgetBuckets] = 0
	}
	return n
}

func (b *budget) first(now time.Duration) { b.firsts[b.advance(now)%budgetBuckets]++ }

// spend takes one retry from this router's part of the budget, and tells
// whether there was one.
func (b *budget) spend(now time.Duration, o RetryBudgetOptions, routers int) bool {
	n := b.advance(now)
	buckets := min(int64(o.Window/budgetBucket)+1, budgetBuckets-1)
	firsts, retries := 0, 0
	for i := n - buckets + 1; i <= n; i++ {
		if i < 0 {
			continue
		}
		firsts += b.firsts[i%budgetBuckets]
		retries += b.retries[i%budgetBuckets]
	}
	allowed := budgetMargin * (o.Ratio*float64(firsts) + o.Slack/float64(max(routers, 1)))
	if float64(retries)+1 > allowed {
		return false
	}
	b.retries[n%budgetBuckets]++
	return true
}
