package rollout

// The steps of a roll-out, as logs name them.
const (
	StepBegan      = "began"       // this router has seen the order
	StepRaised     = "raised"      // the stage has risen here
	StepHeld       = "held"        // this router has paused sending to the target, by itself
	StepReleased   = "released"    // that pause is over
	StepSuspected  = "suspected"   // evidence against the target: it gets a quarter at the most
	StepCleared    = "cleared"     // the evidence does not speak against it any more
	StepRejected   = "rejected"    // the target is bad or late: it is to be rolled back
	StepConfirmed  = "confirmed"   // all is done: it is to be completed
	StepCompleted  = "completed"   // the order's status says so
	StepRolledBack = "rolled_back" // the order's status says so
	StepAbandoned  = "abandoned"   // the order was replaced or deleted
	StepInvalid    = "senseless"   // the order can't be carried out as it stands
	StepUnordered  = "unordered"   // a version that nobody ordered has servers; the cause names it
)

// The causes of steps, as logs name them.
const (
	causeOrder    = "order"
	causeTime     = "time"
	causePeers    = "heard from other routers"
	causeEvidence = "evidence against the target"
	causeDeadline = "not done at the last moment"
	causeNoProof  = "too little evidence for the target"
	causeServers  = "no servers of the target"
	causeIdle     = "nothing runs at old servers"
	causeReplaced = "replaced"
	causeDeleted  = "deleted"
	causeAgain    = "seen again after it was deleted"
	causeStatus   = "status in the store"
	causeTold     = "a leader has rejected it"
)
