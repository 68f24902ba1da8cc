package cluster

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/internal/wait"
)

// receivePause is the time after a failed read.
const receivePause = 100 * time.Millisecond

// transport is one kind of datagrams between routers, which all use the same port. Any of
// them may be lost, so a failure is counted and nothing more.
type transport struct {
	conn  net.PacketConn
	port  int
	stats *stats.Stats
	meter *traffic.Meter
}

// openTransport opens an address of this host for what other routers tell.
func openTransport(address string, k traffic.Kind, parts Parts) (*transport, error) {
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "settings: the address %q for other routers: choose one of this host that is not in use", address)
	}
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(text)
	return &transport{conn: conn, port: port, stats: parts.Stats, meter: parts.Traffic.Of(k)}, err
}

// send sends a datagram to another router.
func (t *transport) send(address string, path traffic.Path, body []byte) {
	t.meter.Add(path, len(body))
	to, err := netip.ParseAddr(address)
	if err == nil {
		_, err = t.conn.WriteTo(body, net.UDPAddrFromAddrPort(netip.AddrPortFrom(to, uint16(t.port))))
	}
	if err != nil {
		t.stats.DatagramFailed()
	}
}

// receive hands each datagram to take until ctx ends. What take gets is valid
// until it returns.
func (t *transport) receive(ctx context.Context, take func(body []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	buffer := make([]byte, datagram)
	for {
		n, _, err := t.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			wait.Sleep(ctx, receivePause)
			continue
		}
		take(buffer[:n])
	}
}
