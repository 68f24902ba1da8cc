// Package adopt runs a bundle.Adopter in a goroutine of its own, so that
// checking a large bundle never holds up a process's decisions.
//
//	k := adopt.NewKeeper(verifier, func(f bundle.InForce) { events <- bundleEvent{f} })
//	go k.Run(ctx)
//	k.Offer(order, content)
package adopt
