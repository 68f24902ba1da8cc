// Package capacity works out what the fleet costs at a size that one machine
// can't run, from slopes that one machine can measure: bytes of each message,
// processor time of each decision, memory of each thing that is kept.
//
//	s := capacity.Measure()
//	for _, row := range capacity.Project(s, capacity.TwoYears) { ... }
package capacity
