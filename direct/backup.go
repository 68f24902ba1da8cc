package direct

import (
	"slices"
	"time"
)

// BackupMsg asks for a backup attempt of a request whose server has fallen silent. The current
// attempt goes on meanwhile: a silent server may respond at any moment. A SendCmd or a RefuseCmd with
// the backup's ID follows, possibly after some time in the queue.
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
	NotSent    bool // see AttemptEndMsg
	RouterLate bool // see AttemptEndMsg
}

func (BackupMsg) isMsg()   {}
func (TakeOverMsg) isMsg() {}

// silenceMemory is how long a server counts as silent after a backup was asked for of one of its requests.
const silenceMemory = 600 * time.Millisecond

// startBackup sends a backup of a running request to another server, puts it in the queue, or refuses it.
func (m *Machine) startBackup(msg BackupMsg) {
	r := m.requests[msg.Of]
	if r == nil || r.currentServer == nil {
		m.emit(RefuseCmd{ID: msg.ID, Reason: ReasonEnded})
		return
	}
	r.currentServer.silentAt = msg.Now
	p := m.pool(r.Service)
	backup := r.newBackup(msg.ID)
	if reason := m.noBackupReason(msg.Now, p, backup); reason != "" {
		m.emit(RefuseCmd{ID: msg.ID, Reason: reason})
		return
	}
	m.requests[backup.ID] = backup
	m.enqueue(msg.Now, p, backup)
}

// newBackup returns a backup of a running request.
func (r *requestState) newBackup(id RequestID) *requestState {
	backup := &requestState{
		Request: r.Request, arrivedAt: r.arrivedAt, attempt: r.attempt, mayHaveRun: true, started: r.started, charged: true,
		triedServers: slices.Clone(r.triedServers), spareServers: slices.Clone(r.spareServers), backupOf: r,
	}
	backup.ID = id
	backup.placement.targetFailed = r.placement.targetFailed || r.currentServer.target
	return backup
}

// noBackupReason returns why a request gets no backup, or an empty reason if it may get one.
func (m *Machine) noBackupReason(now time.Duration, p *pool, backup *requestState) Reason {
	switch {
	case !backup.MayRepeat:
		return ReasonAtMostOnce
	case backup.attemptsUsedUp():
		return ReasonAttempts
	case m.mayCrashAnother(now, backup.backupOf):
		return ReasonQuarantined
	case !p.retryWindow.hasLeft(now, m.options.RetryBudget, m.routers):
		return ReasonRetryBudget
	}
	return ""
}

// attemptsUsedUp reports whether a request may go to no server any more.
func (r *requestState) attemptsUsedUp() bool {
	return r.attempt >= r.Attempts && len(r.spareServers) == 0
}

// maySendTo reports whether a request may go to a server, by where it has been. A server at which a backup was
// canceled may have run it, so going there again is no further attempt.
func (r *requestState) maySendTo(id string) bool {
	if slices.Contains(r.spareServers, id) {
		return true
	}
	return r.attempt < max(r.Attempts, 1) && !r.hasTried(id)
}

// recordVisit records that a request is sent to a server.
func (r *requestState) recordVisit(id string) {
	i := slices.Index(r.spareServers, id)
	r.countedVisit = i < 0
	if i >= 0 {
		r.spareServers = slices.Delete(r.spareServers, i, i+1)
	} else {
		r.attempt++
	}
	r.triedServers = append(r.triedServers, id)
}

// seemsSilent reports whether requests have lately waited in vain for a server.
func (s *server) seemsSilent(now time.Duration) bool {
	return s.silentAt > 0 && now-s.silentAt < silenceMemory
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
	if msg.NotSent || !msg.Outcome.MayHaveRun() {
		backup.mayHaveRun = replaced.mayHaveRun
		if (msg.NotSent || replaced.mayHaveRun) && replaced.countedVisit {
			backup.attempt-- // as in a retry that was not sent, or declined
		}
	}
	m.endAttempt(AttemptEndMsg{Now: msg.Now, ID: replaced.ID, Outcome: msg.Outcome, NotSent: msg.NotSent, RouterLate: msg.RouterLate})
}

// recordBackupEnd records in a running request that its backup has ended without taking over.
func (r *requestState) recordBackupEnd(backup *requestState, s *server, o Outcome) {
	if !o.MayHaveRun() {
		if o == Elsewhere {
			r.triedServers = append(r.triedServers, s.ID)
		}
		return
	}
	r.attempt = max(r.attempt, backup.attempt)
	r.mayHaveRun = true
	r.spareServers = slices.DeleteFunc(r.spareServers, func(id string) bool { return id == s.ID })
	if o == GivenUp {
		r.spareServers = append(r.spareServers, s.ID)
	} else {
		r.triedServers = append(r.triedServers, s.ID)
	}
}

// maxWitnesses bounds the servers that Witnesses returns.
const maxWitnesses = 16

// Witnesses returns the addresses of servers that should be sending responses to this router while a request waits
// for its own: other servers that run requests of this router, or for a backup its own server if that runs others.
// If none of them sends anything, the silence is not that of one server.
func (m *Machine) Witnesses(id RequestID) []string {
	r := m.requests[id]
	if r == nil || r.currentServer == nil {
		return nil
	}
	if r.backupOf != nil && r.currentServer.running > 1 {
		return []string{r.currentServer.Address}
	}
	var out []string
	for _, s := range m.pool(r.Service).all {
		isOwn := s == r.currentServer || r.backupOf != nil && s == r.backupOf.currentServer
		if s.running > 0 && !isOwn {
			out = append(out, s.Address)
		}
		if len(out) == maxWitnesses {
			break
		}
	}
	return out
}
