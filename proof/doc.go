// Package proof holds tests only. They drive the pure machines of a whole
// fleet in one process, through every fault that the users name, and compare
// what callers are told with what the servers ran. docs/PROOF.md says which
// promise each test speaks for.
package proof
