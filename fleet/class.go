package fleet

import "fmt"

// Class orders the requests of one team: urgent before ordinary before batch.
type Class uint8

// The classes, in the order in which a team's requests are served.
const (
	Urgent Class = iota
	Ordinary
	Batch
	// Classes is the number of classes; use it to size arrays by class.
	Classes = 3
)

var classNames = [Classes]string{"urgent", "ordinary", "batch"}

// String returns the name of the class in bundles and headers.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return fmt.Sprintf("class(%d)", uint8(c))
}

// ParseClass parses the name of a class in bundles and headers. For an unknown
// name it returns Ordinary and false.
func ParseClass(s string) (Class, bool) {
	for i, n := range classNames {
		if n == s {
			return Class(i), true
		}
	}
	return Ordinary, false
}
