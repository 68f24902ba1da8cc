package wire

// Number stands for a name on one link, in one direction. Names are long and
// come again and again; each is sent once, in a Name message, before its
// number is first used.
type Number uint32

// Name gives a name its number for the rest of the link's life.
type Name struct {
	Number Number
	Text   string
}

// Type implements Message.
func (Name) Type() Type { return TypeName }

// SentNames numbers the names that one side of a link sends. The zero value is
// ready for use.
type SentNames struct {
	numbers map[string]Number
	unsent  []Name
}

// Number returns a name's number.
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

// TakeUnsent returns the names that were numbered since the last call; they must be
// sent before the message that uses them.
func (n *SentNames) TakeUnsent() []Name {
	unsent := n.unsent
	n.unsent = nil
	return unsent
}

// maxNames bounds what one link may name.
const maxNames = 1 << 16

// ReceivedNames knows the names that the other side of a link sends. The zero value is
// ready for use.
type ReceivedNames struct{ texts []string }

// Add takes a name. Numbers come in order; any other is ignored.
func (n *ReceivedNames) Add(m Name) {
	if int(m.Number) == len(n.texts) && len(n.texts) < maxNames {
		n.texts = append(n.texts, m.Text)
	}
}

// Text returns the name of a number, or "" if it was never sent.
func (n *ReceivedNames) Text(num Number) string {
	if int(num) >= len(n.texts) {
		return ""
	}
	return n.texts[num]
}
