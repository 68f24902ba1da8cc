package adopt

import (
	"context"

	"github.com/croftvale/croftvale/bundle"
)

// maxPendingOffers is the maximum number of offers that wait for Run. Further
// offers are dropped, because peers repeat them as long as generations differ.
const maxPendingOffers = 8

// Runner queues bundle offers, handles them one at a time and calls a function
// for each adopted bundle and each refused offer. Outdated offers are ignored.
type Runner struct {
	adopter   bundle.Adopter
	offers    chan bundle.OfferMsg
	onAdopted func(bundle.Active)
	onRefused func(error)
}

// NewRunner returns a Runner that verifies orders with v. Run calls onAdopted with
// each bundle that becomes active and onRefused with the reason for each refusal.
// Both are called in Run's goroutine.
func NewRunner(v bundle.Verifier, onAdopted func(bundle.Active), onRefused func(error)) *Runner {
	return &Runner{
		adopter:   bundle.Adopter{Verifier: v},
		offers:    make(chan bundle.OfferMsg, maxPendingOffers),
		onAdopted: onAdopted,
		onRefused: onRefused,
	}
}

// Offer queues an offer without blocking. It returns false if the queue is full
// and the offer is dropped.
func (r *Runner) Offer(m bundle.OfferMsg) bool {
	select {
	case r.offers <- m:
		return true
	default:
		return false
	}
}

// Run handles queued offers until ctx is done.
func (r *Runner) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.offers:
			r.handleOffer(m)
		}
	}
}

func (r *Runner) handleOffer(m bundle.OfferMsg) {
	outcome, err := r.adopter.Update(m)
	switch outcome {
	case bundle.Adopted:
		r.onAdopted(r.adopter.Current())
	case bundle.Refused:
		r.onRefused(err)
	}
}
