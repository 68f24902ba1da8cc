package delay

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// Direction is the way from one hall to another.
type Direction struct{ From, To int }

// String spells the direction as the cut file does.
func (d Direction) String() string { return fmt.Sprintf("%d>%d", d.From, d.To) }

// Cuts is the set of directions that carry nothing now, as a file lists them.
// It is read at short intervals.
type Cuts struct {
	path string
	now  atomic.Pointer[map[Direction]bool]
}

const readCutsEvery = 20 * time.Millisecond

// WatchCuts follows a file of cuts for the life of the process. An empty path
// means that nothing is ever cut.
func WatchCuts(path string) *Cuts {
	c := &Cuts{path: path}
	c.now.Store(&map[Direction]bool{})
	if path != "" {
		go c.follow()
	}
	return c
}

func (c *Cuts) follow() {
	for {
		if data, err := os.ReadFile(c.path); err == nil {
			cuts := parseCuts(string(data))
			c.now.Store(&cuts)
		}
		time.Sleep(readCutsEvery)
	}
}

func parseCuts(text string) map[Direction]bool {
	cuts := map[Direction]bool{}
	for _, f := range strings.Fields(text) {
		var d Direction
		if _, err := fmt.Sscanf(f, "%d>%d", &d.From, &d.To); err == nil {
			cuts[d] = true
		}
	}
	return cuts
}

// Has tells whether a direction is cut now.
func (c *Cuts) Has(d Direction) bool { return (*c.now.Load())[d] }
