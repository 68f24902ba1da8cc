package queue

const (
	// maxTokens bounds the retries that a quiet time can save up.
	maxTokens = 20
	// startTokens lets the first failures of a router's life be retried.
	startTokens = 5
)

// retryBudget allows retries as a part of first attempts, so that a failing
// fleet is not loaded further by its own retries.
type retryBudget struct {
	tokens  float64
	started bool
}

// attempt earns ratio retries for one first attempt.
func (b *retryBudget) attempt(ratio float64) {
	b.start()
	b.tokens = min(b.tokens+ratio, maxTokens)
}

// retry takes one retry from the budget, if there is one.
func (b *retryBudget) retry() bool {
	b.start()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *retryBudget) start() {
	if !b.started {
		b.started = true
		b.tokens = startTokens
	}
}
