package rollout

// The steps of a rollout, as they appear in logs.
const (
	StepBegan      = "began"       // this router has received the order
	StepRaised     = "raised"      // this router has raised the stage
	StepHeld       = "held"        // this router has begun a hold: it sends nothing to the target
	StepReleased   = "released"    // the hold has ended
	StepSuspected  = "suspected"   // there is evidence against the target: it gets at most a quarter of the requests
	StepCleared    = "cleared"     // the evidence against the target has decayed
	StepRejected   = "rejected"    // the target is bad or late, and will be rolled back
	StepConfirmed  = "confirmed"   // the leader has decided to complete the rollout
	StepCompleted  = "completed"   // the order's status is completed
	StepRolledBack = "rolled_back" // the order's status is rolled_back
	StepAbandoned  = "abandoned"   // the order was replaced or deleted
	StepInvalid    = "senseless"   // the order is invalid
	StepUnordered  = "unordered"   // a version that nobody ordered has servers; the cause is its name
)

// The causes of steps, as they appear in logs.
const (
	causeOrder      = "order"
	causeTime       = "time"
	causePeers      = "heard from other routers"
	causeEvidence   = "evidence against the target"
	causeDeadline   = "not done at the last moment"
	causeNoEvidence = "too little evidence for the target"
	causeNoServers  = "no servers of the target"
	causeOldDrained = "nothing runs at old servers"
	causeReplaced   = "replaced"
	causeDeleted    = "deleted"
	causeReappeared = "seen again after it was deleted"
	causeStatus     = "status in the store"
	causeLeader     = "a leader has rejected it"
)
