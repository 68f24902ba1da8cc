// Package operate implements the actions of the operators' client: rolling out a
// bundle through the platform, reading the active bundle, and fetching the state
// dump of a process. The commands only parse arguments and print results.
//
//	r := operate.Roller{Store: client, Operator: "anna", Key: key}
//	result, err := r.Roll(ctx, signed)
package operate
