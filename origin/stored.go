package origin

// StoredVersions are the versions of one service that the source keeps.
type StoredVersions struct {
	Service  string
	Versions []string // in order; empty: the source keeps none
	Revision uint64   // of the source's object; 0: there is none
}

// KeptVersions are the versions of one service that the source should keep: all that may have begun
// streams which can still be resumed.
type KeptVersions struct {
	Service  string
	Versions []string // in order
	// Complete reports that none is missing. Otherwise what the source keeps must stay.
	Complete bool
}

// Keep returns the versions that the source should keep, for each service that has any.
func (m *Machine) Keep() []KeptVersions {
	var out []KeptVersions
	for _, service := range m.versions.services() {
		out = append(out, KeptVersions{Service: service, Versions: m.versions.of(service), Complete: m.versions.isComplete(service)})
	}
	return out
}
