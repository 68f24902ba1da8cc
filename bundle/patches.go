package bundle

import "github.com/croftvale/croftvale/fleet"

// maxPatchBytes is the size, in bytes, above which the whole bundle, which is
// packed, is as good.
const maxPatchBytes = 64 << 10

// maxPatchBases is how many generations back a process can patch from.
const maxPatchBases = 8

// Patches holds what turns recent generations into the one in force, for peers
// that lag. The zero value is ready for use.
type Patches struct {
	recent  []Active // the newest last, without the one in force
	encoded map[fleet.Generation][]byte
	current Active
}

// SetCurrent notes a bundle that is in force now.
func (p *Patches) SetCurrent(f Active) {
	if p.current.Generation() > 0 {
		p.recent = append(p.recent, p.current)
	}
	if n := len(p.recent); n > maxPatchBases {
		p.recent = p.recent[n-maxPatchBases:]
	}
	p.current = f
	p.encoded = map[fleet.Generation][]byte{}
}

// From returns the encoded patch from a generation to the one in force, if it
// is recent and the patch is small.
func (p *Patches) From(g fleet.Generation) ([]byte, bool) {
	if patch, ok := p.encoded[g]; ok {
		return patch, patch != nil
	}
	for _, old := range p.recent {
		if old.Generation() != g {
			continue
		}
		patch := NewPatch(old.Bundle, p.current.Bundle).Encode()
		if len(patch) > maxPatchBytes {
			patch = nil
		}
		p.encoded[g] = patch
		return patch, patch != nil
	}
	return nil, false
}
