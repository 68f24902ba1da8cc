package queue

const (
	// maxRetryTokens is the maximum number of retries that can accumulate.
	maxRetryTokens = 20
	// initialRetryTokens is the number of retries in a new budget. It allows
	// retries of the first failures after a router starts.
	initialRetryTokens = 5
)

// retryBudget limits retries to a fraction of first attempts, so that retries do
// not add load to a failing fleet. It is a token bucket.
type retryBudget struct {
	tokens      float64 // retries available
	initialized bool
}

// earn adds ratio retries for one first attempt.
func (b *retryBudget) earn(ratio float64) {
	b.ensureInitialized()
	b.tokens = min(b.tokens+ratio, maxRetryTokens)
}

// spend takes one retry from the budget and reports whether one was available.
func (b *retryBudget) spend() bool {
	b.ensureInitialized()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *retryBudget) ensureInitialized() {
	if !b.initialized {
		b.initialized = true
		b.tokens = initialRetryTokens
	}
}
