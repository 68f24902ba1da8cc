package quarantine

import "fmt"

// Kind tells what a fingerprint stands for.
type Kind uint8

// The kinds of fingerprints.
const (
	Content Kind = iota // a whole request
	Part                // a part of prompts, which otherwise different requests have in common
)

// String returns the kind as logs name it.
func (k Kind) String() string {
	switch k {
	case Content:
		return "content"
	case Part:
		return "part"
	}
	return fmt.Sprintf("Kind(%d)", uint8(k))
}
