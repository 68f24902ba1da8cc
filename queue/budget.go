package queue

const (
	// maxTokens bounds the retries that a quiet time can save up.
	maxTokens = 20
	// initialTokens lets the first failures of a router's life be retried.
	initialTokens = 5
)

// retryBudget allows retries as a part of first attempts, so that a failing
// fleet is not loaded further by its own retries.
type retryBudget struct {
	tokens  float64
	started bool
}

// earn earns ratio retries for one first earn.
func (b *retryBudget) earn(ratio float64) {
	b.ensureStarted()
	b.tokens = min(b.tokens+ratio, maxTokens)
}

// spend takes one spend from the budget, if there is one.
func (b *retryBudget) spend() bool {
	b.ensureStarted()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *retryBudget) ensureStarted() {
	if !b.started {
		b.started = true
		b.tokens = initialTokens
	}
}
