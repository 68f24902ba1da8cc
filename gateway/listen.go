package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// spareDescriptors are reserved for files, peers and the source.
	spareDescriptors  = 400
	defaultMaxCallers = 1000 // if the number of descriptors is unknown
)

// listen opens the addresses that the router serves.
func (g *Gateway) listen(ctx context.Context, failed chan<- error) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.dialect.ReadyPath(), g.serveReady)
	servers := []struct {
		key, address string
		server       *http.Server
	}{
		{"ready", g.settings.ReadyAddress, &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}},
		{"control", g.settings.ControlAddress, &http.Server{Handler: g.feeds.Handler(), ReadHeaderTimeout: headerTimeout}},
		{"front", g.settings.FrontAddress, g.server},
	}
	for _, s := range servers {
		ln, err := listenTCP(ctx, s.address)
		if err == nil && s.server == g.server {
			limitAcceptQueue(ln, g.settings.Cores)
			ln = callerListener{ln, g.front.conns, g.core.pressure.TooLateToAccept, time.Sleep}
		}
		if err != nil {
			return errors.Wrapf(err, "settings: the %s address %q: choose one of this host that is not in use", s.key, s.address)
		}
		go func() {
			if err := s.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	if g.settings.MetricsAddress == "" {
		return nil
	}
	ln, err := net.Listen("tcp", g.settings.MetricsAddress)
	if err != nil {
		return errors.Wrapf(err, "settings: the metrics address %q: choose one of this host that is not in use", g.settings.MetricsAddress)
	}
	go func() {
		if err := g.admin.Serve(ctx, ln); err != nil {
			g.log.Event("duty_ended").Err(err).Msg("")
		}
	}()
	return nil
}

// listenTCP opens an address for short calls. TCP keep-alive probes are off: they cost four
// system calls per connection, and idle connections are closed anyway.
func listenTCP(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: false}, KeepAlive: -1}
	return config.Listen(ctx, "tcp", address)
}

const (
	// acceptQueuePerCore is how many new connections a core can accept and refuse in about
	// 50 ms; see pressure.NewUnreadConns. minAcceptQueue is enough for callers that
	// reconnect to a small host all at once.
	acceptQueuePerCore = 340
	minAcceptQueue     = 64
)

// limitAcceptQueue shortens the accept queue of a socket, so that no connection waits there
// much longer than its caller does. It is best effort: a socket that does not support it
// keeps its queue.
func limitAcceptQueue(ln net.Listener, cores float64) {
	socket, ok := ln.(syscall.Conn)
	if !ok || cores <= 0 {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	// If this fails, the system's own limit on the queue applies.
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), max(int(acceptQueuePerCore*cores), minAcceptQueue)) })
}

// maxCallers returns how many connections of callers are held at once: two thirds of the
// descriptors, since a caller that waits for a server needs one more.
func maxCallers(descriptors int) int {
	if descriptors <= 0 {
		return defaultMaxCallers
	}
	return max((descriptors-spareDescriptors)*2/3, 1)
}
