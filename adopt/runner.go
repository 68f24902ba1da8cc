package adopt

import (
	"context"

	"github.com/croftvale/croftvale/bundle"
)

// maxPendingOffers is how many offers may wait; one more is dropped, since peers offer
// again as long as generations differ.
const maxPendingOffers = 8

// Runner takes offers and reports what came of them.
type Runner struct {
	adopter   bundle.Adopter
	offers    chan bundle.OfferMsg
	onAdopted func(bundle.Active)
	onRefused func(error)
}

// NewRunner returns a keeper. The functions are called from Run's goroutine.
func NewRunner(v bundle.Verifier, onAdopted func(bundle.Active), onRefused func(error)) *Runner {
	return &Runner{
		adopter:   bundle.Adopter{Verifier: v},
		offers:    make(chan bundle.OfferMsg, maxPendingOffers),
		onAdopted: onAdopted,
		onRefused: onRefused,
	}
}

// Offer hands a bundle over; it returns false if too many wait.
func (r *Runner) Offer(m bundle.OfferMsg) bool {
	select {
	case r.offers <- m:
		return true
	default:
		return false
	}
}

// Run checks offers until ctx ends.
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
