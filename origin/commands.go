package origin

// Cmd is an action for the router to carry out.
type Cmd interface{ isCmd() }

// RecordsCmd sends records to another router.
type RecordsCmd struct {
	To      string
	Records []Record
}

// QueryCmd sends a question to another router.
type QueryCmd struct {
	To    string
	Query Query
}

// AnswerCmd sends an answer to another router.
type AnswerCmd struct {
	To     string
	Answer Answer
}

// ReadStoredCmd reads the versions that the source keeps. A StoredMsg follows.
type ReadStoredCmd struct{}

// ResolvedCmd answers a LookupMsg.
type ResolvedCmd struct {
	ID         uint64
	Resolution Resolution
}

func (RecordsCmd) isCmd()    {}
func (QueryCmd) isCmd()      {}
func (AnswerCmd) isCmd()     {}
func (ReadStoredCmd) isCmd() {}
func (ResolvedCmd) isCmd()   {}

// Certainty tells how the version of a stream is known.
type Certainty uint8

// Values of Certainty.
const (
	Unknown  Certainty = iota // several versions may have begun it
	Inferred                  // no other version can have begun it
	Recorded                  // there is a record of it
)

// String returns the name of the certainty for logs.
func (c Certainty) String() string { return [...]string{"unknown", "inferred", "recorded"}[c] }

// Resolution is what is known of the version that began a stream.
type Resolution struct {
	Certainty Certainty
	// Version is empty if it is unknown, or if the service has had no servers.
	Version string
}
