package cluster

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/internal/wait"
)

const (
	// receivePause is the time after a failed read.
	receivePause = 100 * time.Millisecond
	// unreadableNamed is how many senders of unreadable datagrams are logged: more than a fleet
	// has whose hosts are replaced one after the other, at any time.
	unreadableNamed = 100
)

// sender sends datagrams to other routers. Any may be lost.
type sender interface {
	send(address string, path traffic.Path, body []byte)
}

// transport is one kind of datagrams between routers, which all use the same port. Any of
// them may be lost, so a failure is counted and nothing more.
type transport struct {
	conn       net.PacketConn
	port       int
	kind       traffic.Kind
	stats      *stats.Stats
	meter      *traffic.Meter
	log        *eventlog.Log
	unreadable map[string]bool // senders that were logged
}

// openTransport opens an address of this host for what other routers tell.
func openTransport(address string, k traffic.Kind, parts Dependencies) (*transport, error) {
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "settings: the address %q for other routers: choose one of this host that is not in use", address)
	}
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(text)
	return &transport{
		conn: conn, port: port, kind: k, stats: parts.Stats, meter: parts.Traffic.Meter(k), log: parts.Log, unreadable: make(map[string]bool),
	}, err
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
// until it returns; its error says that it can't be read.
func (t *transport) receive(ctx context.Context, take func(body []byte) error) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	buffer := make([]byte, datagram)
	for {
		n, from, err := t.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			wait.Sleep(ctx, receivePause)
			continue
		}
		if err := take(buffer[:n]); err != nil {
			t.unread(from, err)
		}
	}
}

// unread counts a datagram that can't be read, and logs the first of a sender: a router of another
// build may be there that this one does not see.
func (t *transport) unread(from net.Addr, err error) {
	t.stats.DatagramUnreadable()
	host, _, splitErr := net.SplitHostPort(from.String())
	if splitErr != nil || t.unreadable[host] || len(t.unreadable) >= unreadableNamed {
		return
	}
	t.unreadable[host] = true
	t.log.Event("datagram_unreadable").Str("from", host).Str("kind", string(t.kind)).Err(err).Msg("")
}
