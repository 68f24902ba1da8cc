package direct

import (
	"slices"
	"time"
)

// BackupMsg asks for a backup attempt of a request whose server has fallen silent. The current
// attempt goes on meanwhile: a silent server may respond at any moment. The answer is a SendCmd or
// a RefuseCmd with the backup's ID.
type BackupMsg struct {
	Now time.Duration
	ID  RequestID // of the backup
	Of  RequestID // the request
}

// TakeOverMsg reports that a backup has replaced the attempt that it backs up, which ended with the
// given outcome. From now on the backup's ID stands for the request.
type TakeOverMsg struct {
	Now        time.Duration
	ID         RequestID // of the backup
	Outcome    Outcome
	RouterLate bool // see AttemptEndMsg
}

func (BackupMsg) isMsg()   {}
func (TakeOverMsg) isMsg() {}

// startBackup sends a backup of a running request to another server, or refuses it. A backup never
// waits in the queue, since the request is still running.
func (m *Machine) startBackup(msg BackupMsg) {
	r := m.requests[msg.Of]
	if r == nil || r.currentServer == nil {
		m.emit(RefuseCmd{ID: msg.ID, Reason: ReasonEnded})
		return
	}
	p := m.pool(r.Service)
	backup := r.newBackup(msg.ID)
	place, reason := m.placeBackup(msg.Now, p, backup)
	if reason != "" {
		m.emit(RefuseCmd{ID: msg.ID, Reason: reason})
		return
	}
	m.requests[backup.ID] = backup
	m.send(msg.Now, p, backup, place)
}

// newBackup returns a backup of a running request.
func (r *requestState) newBackup(id RequestID) *requestState {
	backup := &requestState{
		Request: r.Request, arrivedAt: r.arrivedAt, attempt: r.attempt, mayHaveRun: true, started: r.started,
		charged: true, triedServers: slices.Clone(r.triedServers), backupOf: r,
	}
	backup.ID = id
	backup.placement.targetFailed = r.placement.targetFailed || r.currentServer.target
	return backup
}

// placeBackup picks a server for a backup and spends a retry on it. It returns a reason if there is
// no server or if another attempt is not allowed.
func (m *Machine) placeBackup(now time.Duration, p *pool, backup *requestState) (choice, Reason) {
	switch {
	case !backup.MayRepeat:
		return choice{}, ReasonAtMostOnce
	case backup.attempt >= backup.Attempts:
		return choice{}, ReasonAttempts
	case m.isBarred(now, backup) || m.mayCrashAnother(now, backup.backupOf):
		return choice{}, ReasonQuarantined
	}
	m.updateTeamState(now, p, backup)
	place, ok := m.placeOnSide(now, p, backup)
	if !ok {
		return choice{}, m.noBackupReason(now, p, backup)
	}
	if !p.retryWindow.trySpend(now, m.options.RetryBudget, m.routers) {
		return choice{}, ReasonRetryBudget
	}
	return place, ""
}

// noBackupReason returns why no server can take a backup.
func (m *Machine) noBackupReason(now time.Duration, p *pool, backup *requestState) Reason {
	if p.noServerAllowed(now, backup) || !p.anyUsable(now, &backup.Request) {
		return p.unavailableReason(now, backup)
	}
	return ReasonOverload
}

// takeOver ends the attempt that a backup has replaced. The backup then counts as the request.
func (m *Machine) takeOver(msg TakeOverMsg) {
	backup := m.requests[msg.ID]
	if backup == nil || backup.backupOf == nil {
		return
	}
	replaced := backup.backupOf
	backup.backupOf = nil
	backup.charged = replaced.charged
	replaced.charged = false
	if !msg.Outcome.MayHaveRun() {
		backup.mayHaveRun = replaced.mayHaveRun
	}
	m.endAttempt(AttemptEndMsg{Now: msg.Now, ID: replaced.ID, Outcome: msg.Outcome, RouterLate: msg.RouterLate})
}

// recordBackupEnd records in a running request that its backup has ended without taking over.
func (r *requestState) recordBackupEnd(s *server, o Outcome) {
	r.triedServers = append(r.triedServers, s.ID)
	if o.MayHaveRun() {
		r.attempt++
		r.mayHaveRun = true
	}
}
