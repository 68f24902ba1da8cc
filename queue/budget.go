package queue

const (
	// maxTokens is the maximum number of retries that can accumulate.
	maxTokens = 20
	// initialTokens allows retries of the first failures after a router starts.
	initialTokens = 5
)

// retryBudget limits retries to a fraction of first attempts, so that retries do
// not add load to a failing fleet. It is a token bucket.
type retryBudget struct {
	tokens  float64
	started bool
}

// earn adds ratio retries for one first attempt.
func (b *retryBudget) earn(ratio float64) {
	b.ensureStarted()
	b.tokens = min(b.tokens+ratio, maxTokens)
}

// spend takes one retry from the budget and reports whether one was available.
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
