package origin

// StoredVersions are the versions of one service that the source keeps.
type StoredVersions struct {
	Service  string
	Versions []string // in order; empty: the source keeps none
	Revision uint64   // of the source's object; 0: there is none
}
