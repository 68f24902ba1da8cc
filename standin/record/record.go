// Package record notes which requests the stand-ins ran, so that a test can
// compare it with what callers were told. Callers mark each request with a
// nonce of their own.
package record

import "sync"

// Recorder counts runs by nonce. The zero value is ready for use.
type Recorder struct {
	mu   sync.Mutex
	runs map[string]int
}

// Ran notes that a run of a request began.
func (r *Recorder) Ran(nonce string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string]int{}
	}
	r.runs[nonce]++
}

// Runs returns how often a request ran.
func (r *Recorder) Runs(nonce string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[nonce]
}
