package wire

// Number replaces a name in messages on one link, in one direction. Names are
// long and occur often, so each is sent only once, in a Name message, before its
// number is first used.
type Number uint32

// Name assigns a number to a name until the link closes.
type Name struct {
	Number Number
	Text   string
}

// Type implements Message.
func (Name) Type() Type { return TypeName }

// SentNames assigns numbers to the names that one side of a link sends. The zero
// value is ready for use.
type SentNames struct {
	numbers map[string]Number
	unsent  []Name
}

// Number returns the number of a name, and assigns one to a new name.
func (n *SentNames) Number(text string) Number {
	if num, ok := n.numbers[text]; ok {
		return num
	}
	if n.numbers == nil {
		n.numbers = map[string]Number{}
	}
	num := Number(len(n.numbers))
	n.numbers[text] = num
	n.unsent = append(n.unsent, Name{Number: num, Text: text})
	return num
}

// TakeUnsent returns the names that were numbered since the last call. They must
// be sent before the message that uses them.
func (n *SentNames) TakeUnsent() []Name {
	unsent := n.unsent
	n.unsent = nil
	return unsent
}

// maxNames is the maximum number of names that one link may send.
const maxNames = 1 << 16

// ReceivedNames holds the names that the other side of a link has sent. The zero
// value is ready for use.
type ReceivedNames struct{ texts []string }

// Add records a name. It ignores a name whose number is not the next one, and
// any name beyond maxNames.
func (n *ReceivedNames) Add(m Name) {
	if int(m.Number) == len(n.texts) && len(n.texts) < maxNames {
		n.texts = append(n.texts, m.Text)
	}
}

// Text returns the name with a number, or "" if it was never sent.
func (n *ReceivedNames) Text(num Number) string {
	if int(num) >= len(n.texts) {
		return ""
	}
	return n.texts[num]
}
