package direct

import (
	"time"

	"github.com/croftvale/croftvale/quarantine"
)

const (
	// maxReportedSuspects limits the suspects in one report; each takes about 40 bytes.
	maxReportedSuspects = 16
	// maxReportedParts limits the parts in one report; each takes 10 bytes, and 12 for each crash.
	maxReportedParts = 32
	// suspectExpiryInterval is the time between two removals of old suspects.
	suspectExpiryInterval = time.Second
)

// mergeSuspects merges the suspects of another router's report.
func (m *Machine) mergeSuspects(now time.Duration, report Report) {
	if !m.enabled(Quarantine) {
		return
	}
	m.suspects.ApplyReports(now, report.Suspects)
	m.suspects.CompareDigest(now, report.SuspectsDigest)
	m.partSuspects.ApplyReports(now, report.PartSuspects)
	if report.PartsDigest != (quarantine.Digest{}) {
		m.peerPartsAt = now
	}
	if report.HasParts {
		m.partSuspects.CompareDigest(now, report.PartsDigest)
	}
}

// expireSuspects removes old suspects, once per suspectExpiryInterval.
func (m *Machine) expireSuspects(now time.Duration) {
	if now-m.suspectsExpiredAt < suspectExpiryInterval {
		return
	}
	m.suspectsExpiredAt = now
	m.suspects.Expire(now)
	m.partSuspects.Expire(now)
}

// emitQuarantineChanges emits the changes of the quarantine since the last call, and a report
// to the other routers if they are urgent.
func (m *Machine) emitQuarantineChanges() {
	for _, c := range m.suspects.TakeChanges() {
		m.emit(QuarantineCmd{Change: c})
		m.partSuspects.ContentsChanged()
	}
	abort := false
	for _, c := range m.partSuspects.TakeChanges() {
		m.emit(QuarantineCmd{Change: c})
		abort = abort || c.Barred
	}
	if abort {
		m.abortBarred()
	}
	urgent := m.suspects.TakeUrgent()
	if m.partSuspects.TakeUrgent() || urgent {
		m.emit(ReportCmd{})
	}
}

// suspectsOf returns the state of the fingerprints of a kind.
func (m *Machine) suspectsOf(kind quarantine.Kind) *quarantine.Suspects {
	if kind == quarantine.Part {
		return &m.partSuspects
	}
	return &m.suspects
}

// PendingRecords returns the fingerprints of a kind whose quarantine records have to be added to
// the store, and those whose records have to be removed.
func (m *Machine) PendingRecords(kind quarantine.Kind) (add, remove []quarantine.Fingerprint) {
	suspects := m.suspectsOf(kind)
	return suspects.Unrecorded(), suspects.Outdated()
}

// QuarantineRecords returns the fingerprints of a kind that are barred and have a record in the store,
// as far as is known.
func (m *Machine) QuarantineRecords(kind quarantine.Kind) []quarantine.Fingerprint {
	return m.suspectsOf(kind).Recorded()
}

// QuarantineStates returns the state of at most limit suspects of each kind.
func (m *Machine) QuarantineStates(now time.Duration, limit int) []quarantine.State {
	return append(m.suspects.States(now, limit), m.partSuspects.States(now, limit)...)
}
