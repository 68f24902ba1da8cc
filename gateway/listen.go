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
	// spareDescriptors are left for files, peers and the source.
	spareDescriptors = 400
	defaultCallers   = 1000
)

// listen opens the addresses that others call.
func (g *Gateway) listen(life context.Context, failed chan<- error) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.dialect.ReadyPath(), g.answerReady)
	servers := []struct {
		key, address string
		server       *http.Server
	}{
		{"ready", g.settings.ReadyAddress, &http.Server{Handler: mux, ReadHeaderTimeout: headerWait}},
		{"control", g.settings.ControlAddress, &http.Server{Handler: g.feeds.Handler(), ReadHeaderTimeout: headerWait}},
		{"front", g.settings.FrontAddress, g.server},
	}
	for _, s := range servers {
		ln, err := listenTCP(life, s.address)
		if err == nil && s.server == g.server {
			boundQueue(ln, g.settings.Cores)
			ln = listener{ln, g.front.callers, g.core.pressure.TooLateToAccept, time.Sleep}
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
		if err := g.admin.Serve(life, ln); err != nil {
			g.log.Event("duty_ended").Err(err).Msg("")
		}
	}()
	return nil
}

// listenTCP opens an address for short calls. Probes for dead peers are off: they
// cost four system calls a connection, and what is at rest is swept anyway.
func listenTCP(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: false}, KeepAlive: -1}
	return config.Listen(ctx, "tcp", address)
}

const (
	// queuePerCore is how many new connections a core can take in, and refuse, in
	// about 50 ms; see pressure.NewFresh. queueLeast is enough for callers that come back
	// together to a small host.
	queuePerCore = 340
	queueLeast   = 64
)

// boundQueue shortens the queue of new connections of a socket, so that none waits
// there for much longer than its caller does. It is a matter of degree: a socket
// that does not allow it keeps its queue.
func boundQueue(ln net.Listener, power float64) {
	system, ok := ln.(syscall.Conn)
	if !ok || power <= 0 {
		return
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return
	}
	// Where it fails, the system's own bound of the queue holds.
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), max(int(queuePerCore*power), queueLeast)) })
}

// callersMost is how many connections of callers are held at once: two thirds
// of the descriptors, since those that wait for a server need one more.
func callersMost(descriptors int) int {
	if descriptors <= 0 {
		return defaultCallers
	}
	return max((descriptors-spareDescriptors)*2/3, 1)
}
