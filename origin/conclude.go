package origin

import "time"

// conclude ends a lookup without a record if there is evidence that a single version can have begun
// the stream, or that there will be none.
func (m *Machine) conclude(now time.Duration, l *lookup) {
	l.concluding = true
	several := m.versions.several(l.query.Service)
	switch {
	case (several || l.unlisted != "") && !l.hasHeardAll(now):
	case l.unlisted != "":
		m.finish(l, recorded(l.unlisted))
	case several && !l.askedRegions:
		m.askRegions(now, l)
	case several:
		m.finish(l, Resolution{Evidence: SeveralVersions})
	case l.awaitsRouters(now):
	case m.mayHaveBegunUnlisted(l):
		if l.hasHeardAll(now) {
			m.finish(l, Resolution{Evidence: VersionUnlisted})
		}
	case m.reading.isFreshFor(l):
		m.concludeFromRead(now, l)
	case !m.reading.hasFailedSince(l.startedAt):
		m.readFor(now, l)
	case l.isVouchedFor():
		m.finish(l, m.onlyVersion(l.query.Service, RoutersAgree))
	case !l.contact.Majority || !l.contact.Current:
		m.finish(l, Resolution{Evidence: OutOfTouch})
	case !l.askedMost:
		m.askMost(now, l)
	case l.hasHeardAll(now):
		m.finish(l, Resolution{Evidence: OutOfTouch})
	}
}

// concludeFromRead ends a lookup of a service for which the source keeps a single version. The router that
// writes what the source keeps may be out of step, so that either most routers or the source's list of
// servers have to agree.
func (m *Machine) concludeFromRead(now time.Duration, l *lookup) {
	switch {
	case m.reading.hasServersFor(l), l.isAnsweredByMost():
		m.finish(l, m.onlyVersion(l.query.Service, SourceRead))
	case !l.hasHeardAll(now):
	case m.reading.hasFailedSince(l.startedAt):
		m.finish(l, Resolution{Evidence: OutOfTouch})
	default:
		m.readStored(now, true)
	}
}

// isAnsweredByMost reports whether most of the routers are in touch with this one, and most of those that
// should have been asked have answered. Routers that count as lost are not asked, which is no answer.
func (l *lookup) isAnsweredByMost() bool {
	limit := copies + extraAsked
	if l.askedMost {
		limit = maxVouchers
	}
	answered := l.asked - len(l.unanswered)
	expected := max(l.asked, min(l.contact.Members-1, limit))
	return l.contact.Majority && l.contact.Current && 2*(answered+1) > expected+1
}

// hasHeardAll reports whether no further answer is expected.
func (l *lookup) hasHeardAll(now time.Duration) bool {
	return len(l.unanswered) == 0 || now-l.askedAt >= queryTimeout
}

// isVouchedFor reports whether most routers are in touch with this one, so that it has heard of each
// version that any of them may use. It is the evidence of last resort, while the source is away.
func (l *lookup) isVouchedFor() bool {
	return l.askedMost && l.isAnsweredByMost()
}

// onlyVersion returns the resolution of a stream of a service with at most one known version, by the
// evidence that no other one is in use.
func (m *Machine) onlyVersion(service string, e Evidence) Resolution {
	if !m.versions.isComplete(service) {
		return Resolution{Evidence: HistoryUnknown}
	}
	r := Resolution{Certainty: Inferred, Evidence: e}
	if versions := m.versions.of(service); len(versions) > 0 {
		r.Version = versions[0]
	}
	return r
}

// lateResolution returns the resolution of a lookup whose call to the source has not ended in time.
func (m *Machine) lateResolution(l *lookup) Resolution {
	if m.mayHaveBegunUnlisted(l) {
		return Resolution{Evidence: VersionUnlisted}
	}
	if l.isVouchedFor() && !m.versions.several(l.query.Service) {
		return m.onlyVersion(l.query.Service, RoutersAgree)
	}
	return Resolution{Evidence: OutOfTouch}
}
