package gateway

import "github.com/croftvale/croftvale/direct"

// knownStarts are the starts of a server that a router knows of. Its entry may be older than its process.
type knownStarts struct {
	entry   *direct.Server
	told    int64 // by the server itself
	hasTold bool
	onConn  bool // told on the connection of the request, so that it is the only one
}

// startsSoFar returns the starts of the server that are known now.
func (a *attempt) startsSoFar() knownStarts {
	known := knownStarts{entry: &a.cmd.Server}
	known.told, known.onConn = a.conn.ServerStart()
	known.hasTold = known.onConn
	if !known.onConn {
		known.told, known.hasTold = a.x.front.pool.StartBefore(a.conn)
	}
	return known
}

func (k knownStarts) areUnknown() bool { return !k.hasTold && !k.entry.TellsStart() }

// include reports whether a start is one of those known.
func (k knownStarts) include(millis int64) bool {
	return k.hasTold && k.told == millis || !k.onConn && k.entry.MatchStart(millis) == direct.SameIncarnation
}
