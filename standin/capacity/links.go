package capacity

import (
	"context"
	"net"
	"runtime"

	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/wire"
)

// linksMeasured is how many links linkMemory opens; both ends are in this
// process, so each is counted twice.
const linksMeasured = 300

// linkMemory opens real links over loopback and returns what one end takes,
// with its goroutines' stacks and buffers.
func linkMemory() float64 {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	events := make(chan link.Event, 4*linksMeasured)
	opts := link.Options{Hello: func() wire.Hello { return wire.Hello{Name: "m", Role: wire.RoleRouter} }, Events: events}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	go func() { _ = link.Listen(ctx, ln, opts) }()
	for range linksMeasured {
		go func() { _ = link.Dial(ctx, ln.Addr().String(), opts) }()
	}
	for range 2 * linksMeasured {
		<-events
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
	return float64(used) / (2 * linksMeasured)
}
