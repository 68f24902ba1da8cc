package gateway

// allowMove lets a MoveCmd abort the attempt by closing its connection, so that the request
// continues on a server of another version.
func (a *attempt) allowMove() {
	if !a.x.front.movesEnabled || !a.x.route.MayRepeat() {
		return
	}
	a.movable = true
	a.x.front.core.setAbort(a.x.id, func() {
		a.moved.Store(true)
		_ = a.conn.Close() // the reader of the connection gets an error
	})
}

// forbidMove reverts allowMove, if that took effect. It must be called before the
// connection serves another request.
func (a *attempt) forbidMove() {
	if a.movable {
		a.movable = false
		a.x.front.core.clearAbort(a.x.id)
	}
}
