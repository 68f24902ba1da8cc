package gateway

// letMove lets the attempt be broken off to go on at a server of another version. It then
// ends as one whose server broke off, but for the outcome.
func (a *attempt) letMove() {
	if !a.x.front.movable || !a.x.route.MayRepeat() {
		return
	}
	a.breakable = true
	a.x.front.core.breakable(a.x.id, func() {
		a.moved.Store(true)
		_ = a.conn.Close()
	})
}

// keep ends that. It comes before the connection serves another request.
func (a *attempt) keep() {
	if a.breakable {
		a.breakable = false
		a.x.front.core.unbreakable(a.x.id)
	}
}
