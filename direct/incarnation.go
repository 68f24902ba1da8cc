package direct

// recordIncarnation records to which start of its server the connection of an attempt leads.
func (m *Machine) recordIncarnation(msg IncarnationMsg) {
	r := m.requests[msg.ID]
	if r == nil || r.currentServer == nil {
		return
	}
	r.incarnation = msg.Incarnation
	s := r.currentServer
	switch {
	case msg.Incarnation == OtherIncarnation && msg.NewConn && !s.restarted:
		s.restarted = true
		m.emit(ServerStatusCmd{Server: s.Server, Status: StatusRestarted, Cause: "said so itself"})
	case msg.Incarnation == SameIncarnation:
		s.restarted = false
	}
}

// startsElsewhere reports whether the request needs a version that the process at the other end of its
// connection may not run.
func (r *requestState) startsElsewhere() bool {
	return r.Version != "" && r.incarnation == OtherIncarnation
}

// setVersion binds a stream to the version of its server, which has become known after its first event.
func (m *Machine) setVersion(msg VersionMsg) {
	if r := m.requests[msg.ID]; r != nil && r.currentServer != nil {
		r.Version = msg.Version
	}
}
