// Package operate is what the operators' client does with the platform and the
// processes: roll a bundle, read what is in force, dump state. Commands print;
// this package decides.
//
//	r := operate.Roller{Store: client, Operator: "anna", Key: key}
//	result, err := r.Roll(ctx, signed)
package operate
