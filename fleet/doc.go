// Package fleet defines the basic types that the other packages share: teams,
// kinds of work, classes, halls, processes and claims. It imports no other
// package of the project and does no I/O, so that state machines, wire
// messages and tests can all use the same types:
//
//	id := fleet.ClaimID{Agent: "engine-1", Incarnation: 7, Seq: 12}
//	fmt.Println(id) // engine-1/7/12
package fleet
