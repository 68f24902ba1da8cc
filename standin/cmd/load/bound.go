package main

import "time"

// bound returns the stated bound on the gap, in slot-milliseconds per unit of
// share: what all slots can give while news of service goes round the fleet
// (from an agent to its hub, to the hubs of other halls, and to the agents),
// and the longest run on every slot, at the least share of a backlogged team.
func (f *labFleet) bound() float64 {
	const ticks = 4 * 50 * time.Millisecond
	every := time.Duration(f.policy.ShareEvery)
	round := 3*every + ticks + 4*f.profile.oneWay
	longest := time.Duration(f.profile.maxCost) * f.profile.step
	slots := float64(f.profile.engines * f.profile.slots)
	least := f.profile.teams[0].share
	for _, t := range f.profile.backlogged() {
		least = min(least, t.share)
	}
	return slots * float64((round+longest)/time.Millisecond) / least
}
