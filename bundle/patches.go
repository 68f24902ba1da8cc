package bundle

import "github.com/croftvale/croftvale/fleet"

// maxPatch is the size, in bytes, above which the whole bundle, which is
// packed, is as good.
const maxPatch = 64 << 10

// patchesKept is how many generations back a process can patch from.
const patchesKept = 8

// Patches holds what turns recent generations into the one in force, for peers
// that lag. The zero value is ready for use.
type Patches struct {
	recent []Active // the newest last, without the one in force
	ready  map[fleet.Generation][]byte
	now    Active
}

// SetCurrent notes a bundle that is in force now.
func (p *Patches) SetCurrent(f Active) {
	if p.now.Generation() > 0 {
		p.recent = append(p.recent, p.now)
	}
	if n := len(p.recent); n > patchesKept {
		p.recent = p.recent[n-patchesKept:]
	}
	p.now = f
	p.ready = map[fleet.Generation][]byte{}
}

// From returns the encoded patch from a generation to the one in force, if it
// is recent and the patch is small.
func (p *Patches) From(g fleet.Generation) ([]byte, bool) {
	if patch, ok := p.ready[g]; ok {
		return patch, patch != nil
	}
	for _, old := range p.recent {
		if old.Generation() != g {
			continue
		}
		patch := NewPatch(old.Bundle, p.now.Bundle).Encode()
		if len(patch) > maxPatch {
			patch = nil
		}
		p.ready[g] = patch
		return patch, patch != nil
	}
	return nil, false
}
