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
type ReadStoredCmd struct {
	// Servers asks for the versions of the listed servers, too.
	Servers bool
}

// StoreStreamsCmd reports that OwnStreams returns streams which it has not returned before.
type StoreStreamsCmd struct{}

// ResolvedCmd answers a LookupMsg.
type ResolvedCmd struct {
	ID         uint64
	Resolution Resolution
}

// HeldCmd answers a HoldMsg.
type HeldCmd struct {
	ID   uint64
	Held bool // most routers that may be asked hold the record
}

func (RecordsCmd) isCmd()      {}
func (QueryCmd) isCmd()        {}
func (AnswerCmd) isCmd()       {}
func (ReadStoredCmd) isCmd()   {}
func (StoreStreamsCmd) isCmd() {}
func (ResolvedCmd) isCmd()     {}
func (HeldCmd) isCmd()         {}

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

// Evidence tells what a resolution without a record rests on, or why there is none.
type Evidence uint8

// Values of Evidence.
const (
	NoEvidence      Evidence = iota // a record is enough
	SourceRead                      // the source was read, and most routers or its list of servers know no other version
	RoutersAgree                    // the source is away; most routers are in touch and use no other version
	Contradicted                    // the records of the stream contradict one another
	SeveralVersions                 // several versions may have begun it
	HistoryUnknown                  // versions may have been in use before this router was in touch
	OutOfTouch                      // other routers may use versions that this one does not know
	VersionUnlisted                 // it began at a server that had restarted since its entry
)

// String returns the name of the evidence for logs.
func (e Evidence) String() string {
	return [...]string{"record", "source", "routers", "contradiction", "several_versions", "history_unknown", "out_of_touch", "version_unlisted"}[e]
}

// Resolution is what is known of the version that began a stream.
type Resolution struct {
	Certainty Certainty
	Evidence  Evidence
	// Version is empty if it is unknown, or if the service has had no servers.
	Version string
}
