package cluster

import (
	"encoding/binary"

	"github.com/croftvale/croftvale/quarantine"
)

// The bits of the flags of an encoded report. The others hold the number of crashes.
const (
	partGrave       = 1 << 7
	partCleared     = 1 << 6
	partAsked       = 1 << 5
	partEstablished = 1 << 4
	partMaxCrashes  = partEstablished - 1
)

const (
	partHeadSize  = 8 + 1         // fingerprint, flags
	partAgeSize   = 4             // milliseconds
	partCrashSize = 4 + 4 + 2 + 2 // server, age in milliseconds, hall, request
)

// packPartReports encodes reports on prompt parts. Of a report with more than partMaxCrashes
// crashes, it encodes the last ones.
func packPartReports(reports []quarantine.Report) []byte {
	var out []byte
	for _, r := range reports {
		out = appendPartReport(out, r)
	}
	return out
}

func appendPartReport(out []byte, r quarantine.Report) []byte {
	crashes := r.Crashes[max(len(r.Crashes)-partMaxCrashes, 0):]
	flags := byte(len(crashes))
	for _, bit := range []struct {
		set  bool
		mask byte
	}{{r.Grave, partGrave}, {r.Cleared, partCleared}, {r.Asked, partAsked}, {r.Established, partEstablished}} {
		if bit.set {
			flags |= bit.mask
		}
	}
	out = binary.BigEndian.AppendUint64(out, uint64(r.Content))
	out = append(out, flags)
	if r.Cleared {
		out = binary.BigEndian.AppendUint32(out, uint32(r.ClearAge))
	}
	if r.Asked {
		out = binary.BigEndian.AppendUint32(out, uint32(r.AskAge))
	}
	for _, c := range crashes {
		out = binary.BigEndian.AppendUint32(out, uint32(c.Server))
		out = binary.BigEndian.AppendUint32(out, uint32(c.Age))
		out = binary.BigEndian.AppendUint16(out, c.Hall)
		out = binary.BigEndian.AppendUint16(out, c.Request)
	}
	return out
}

// unpackPartReports decodes reports on prompt parts. It stops at the first that is incomplete.
func unpackPartReports(in []byte) []quarantine.Report {
	var out []quarantine.Report
	for len(in) >= partHeadSize {
		flags := in[8]
		r := quarantine.Report{
			Content: quarantine.Fingerprint(binary.BigEndian.Uint64(in)),
			Grave:   flags&partGrave != 0, Cleared: flags&partCleared != 0, Asked: flags&partAsked != 0, Established: flags&partEstablished != 0,
		}
		in = in[partHeadSize:]
		crashes := int(flags & partMaxCrashes)
		if len(in) < partReportSize(r, crashes) {
			return out
		}
		if r.Cleared {
			r.ClearAge, in = quarantine.Age(binary.BigEndian.Uint32(in)), in[partAgeSize:]
		}
		if r.Asked {
			r.AskAge, in = quarantine.Age(binary.BigEndian.Uint32(in)), in[partAgeSize:]
		}
		for range crashes {
			r.Crashes = append(r.Crashes, quarantine.CrashReport{
				Server: quarantine.Server(binary.BigEndian.Uint32(in)), Age: quarantine.Age(binary.BigEndian.Uint32(in[4:])),
				Hall: binary.BigEndian.Uint16(in[8:]), Request: binary.BigEndian.Uint16(in[10:]),
			})
			in = in[partCrashSize:]
		}
		out = append(out, r)
	}
	return out
}

// partReportSize returns the size in bytes of what follows the head of an encoded report.
func partReportSize(r quarantine.Report, crashes int) int {
	size := crashes * partCrashSize
	for _, present := range []bool{r.Cleared, r.Asked} {
		if present {
			size += partAgeSize
		}
	}
	return size
}
