// Package adopt runs a bundle.Adopter in its own goroutine, so that checking a
// large bundle does not delay the decisions of a process.
//
//	r := adopt.NewRunner(verifier, onAdopted, onRefused)
//	go r.Run(ctx)
//	r.Offer(bundle.OfferMsg{Order: order, Content: content})
package adopt
