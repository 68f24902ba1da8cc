// Package memory accounts for the memory that a router holds for its callers: request bodies and
// responses that callers have not read yet. It does no I/O. Package sendqueue and the router's HTTP
// front end grow an account before they hold more, and drop the data of accounts that the budget closes.
//
//	b := memory.NewBudget(16 << 20)
//	a := &memory.Account{Team: "red"}
//	dropped, ok := b.Grow(a, len(body))
//	defer b.Close(a)
package memory
