package adopt

import (
	"context"

	"github.com/croftvale/croftvale/bundle"
)

// room is how many offers may wait; one more is dropped, since peers offer
// again as long as generations differ.
const room = 8

// Keeper takes offers and reports what came of them.
type Keeper struct {
	adopter bundle.Adopter
	offers  chan bundle.OfferMsg
	adopted func(bundle.Active)
	refused func(error)
}

// NewKeeper returns a keeper. The functions are called from Run's goroutine.
func NewKeeper(v bundle.Verifier, adopted func(bundle.Active), refused func(error)) *Keeper {
	return &Keeper{
		adopter: bundle.Adopter{Verifier: v},
		offers:  make(chan bundle.OfferMsg, room),
		adopted: adopted,
		refused: refused,
	}
}

// Offer hands a bundle over; it returns false if too many wait.
func (k *Keeper) Offer(m bundle.OfferMsg) bool {
	select {
	case k.offers <- m:
		return true
	default:
		return false
	}
}

// Run checks offers until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-k.offers:
			k.take(m)
		}
	}
}

func (k *Keeper) take(m bundle.OfferMsg) {
	what, err := k.adopter.Update(m)
	switch what {
	case bundle.Adopted:
		k.adopted(k.adopter.Current())
	case bundle.Refused:
		k.refused(err)
	}
}
