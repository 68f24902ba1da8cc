package process

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/link"
	"github.com/uber-go/tally/v4"
)

// gaugeEvery is the time between two readings.
const gaugeEvery = 5 * time.Second

// Reading is one value of a process's state for its metrics. Type, where it is
// not empty, becomes a tag.
type Reading struct {
	Name  string
	Type  string
	Value float64
}

// Gauge reads a process's state at intervals into its metrics until ctx ends.
func Gauge(ctx context.Context, scope tally.Scope, read func(context.Context) ([]Reading, error)) {
	tick := time.NewTicker(gaugeEvery)
	defer tick.Stop()
	for {
		readings, err := read(ctx)
		if err == nil {
			set(scope, readings)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func set(scope tally.Scope, readings []Reading) {
	for _, r := range readings {
		s := scope
		if r.Type != "" {
			s = scope.Tagged(map[string]string{"type": r.Type})
		}
		s.Gauge(r.Name).Update(r.Value)
	}
}

// TrafficReadings returns the control bytes of each type of message.
func TrafficReadings(traffic []link.Traffic) []Reading {
	var out []Reading
	for _, t := range traffic {
		out = append(out,
			Reading{Name: "control_sent_bytes", Type: t.Type, Value: float64(t.SentBytes)},
			Reading{Name: "control_read_bytes", Type: t.Type, Value: float64(t.ReadBytes)},
		)
	}
	return out
}
