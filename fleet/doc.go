// Package fleet holds the plain names and numbers that every other package
// shares: teams, works, classes, halls, processes and claims. It imports
// nothing of the project and does no I/O, so a decision package, a wire
// message and a test can all speak of the same things:
//
//	id := fleet.ClaimID{Agent: "engine-1", Incarnation: 7, Seq: 12}
//	fmt.Println(id) // engine-1/7/12
package fleet
