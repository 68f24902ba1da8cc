package rollouts

import "github.com/croftvale/croftvale/rollout"

// logStep logs a step of a rollout, or that a version without an order has servers.
func (r *Runner) logStep(c rollout.StepCmd) {
	if c.Step == rollout.StepUnordered {
		r.o.Log.Event("version_not_ordered").Str("service", c.Service).Str("version", c.Cause).Msg("")
		return
	}
	r.o.Log.Event("rollout_step").Str("service", c.Service).Str("target", c.Target).Str("step", c.Step).Str("cause", c.Cause).
		Str("stage", c.Stage.String()).Dur("age", c.Age).Dur("within", c.Within).Bool("leads", c.Leads).Int("routers", c.Routers).
		Uint32("new_good", c.New.Good).Uint32("new_bad", c.New.Bad).
		Uint32("old_good", c.Old.Good).Uint32("old_bad", c.Old.Bad).Msg("")
}

// writeKindNames and resultNames are the names used in logs.
var (
	writeKindNames = map[rollout.WriteKind]string{rollout.WriteStatus: "status", rollout.WriteRecord: "record"}
	resultNames    = map[rollout.WriteResult]string{
		rollout.Written: "written", rollout.Conflict: "conflict", rollout.Refused: "refused", rollout.Unknown: "unknown",
	}
)

func (r *Runner) logWrite(c rollout.WriteCmd, result rollout.WriteResult, err error) {
	e := r.o.Log.Event("rollout_write").Str("service", c.Service).Str("kind", writeKindNames[c.Kind]).Str("result", resultNames[result])
	if c.Kind == rollout.WriteStatus {
		e.Str("target", c.Status.Target).Str("state", c.Status.State.String()).Uint64("revision", c.Status.Revision)
	} else {
		e.Strs("in_use", c.Record.InUse).Uint64("revision", c.Record.Revision)
	}
	e.Err(err).Msg("")
}

// logDropped counts dropped responses and logs them at a limited rate.
func (r *Runner) logDropped(n int64) {
	if n > 0 {
		r.o.Stats.RolloutResponsesDropped(n)
	}
	r.unloggedDrops += n
	if r.unloggedDrops > 0 && r.dropLogLimiter.Allow() {
		r.o.Log.Event("rollout_answers_dropped").Int64("answers", r.unloggedDrops).Msg("")
		r.unloggedDrops = 0
	}
}
