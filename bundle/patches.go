package bundle

import "github.com/croftvale/croftvale/fleet"

// maxPatchBytes is the largest patch that is sent, in bytes. Patches are not
// compressed, so above this size the compressed whole bundle costs no more.
const maxPatchBytes = 64 << 10

// maxPatchBases is the number of earlier bundles that a process keeps in order to
// make patches from them.
const maxPatchBases = 8

// Patches makes and caches patches from recent generations to the active one, for
// peers that are behind. The zero value is ready to use.
type Patches struct {
	recent  []Active                    // newest last, without current
	encoded map[fleet.Generation][]byte // patches by the generation they start from; nil if too large
	current Active
}

// SetCurrent records the bundle that has become active.
func (p *Patches) SetCurrent(next Active) {
	if p.current.Generation() > 0 {
		p.recent = append(p.recent, p.current)
	}
	if n := len(p.recent); n > maxPatchBases {
		p.recent = p.recent[n-maxPatchBases:]
	}
	p.current = next
	p.encoded = map[fleet.Generation][]byte{}
}

// From returns the encoded patch from generation g to the active one. It reports
// false if g is not a recent generation or the patch exceeds maxPatchBytes.
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
