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
	// receiveRetryDelay is the time until the next read after a failed one.
	receiveRetryDelay = 100 * time.Millisecond
	// maxLoggedSenders is the number of senders of unreadable datagrams that are logged. A fleet
	// whose hosts are replaced one after the other has fewer of them at any time.
	maxLoggedSenders = 100
)

// sender sends datagrams to other routers. Any datagram may be lost.
type sender interface {
	send(address string, path traffic.Path, body []byte)
}

// transport sends and receives one kind of datagram; all routers use the same port for it. Any
// datagram may be lost, so failures are only counted.
type transport struct {
	conn          net.PacketConn
	port          int
	kind          traffic.Kind
	stats         *stats.Stats
	meter         *traffic.Meter
	log           *eventlog.Log
	loggedSenders map[string]bool // senders that were logged
}

// openTransport listens on an address of this host for datagrams from other routers.
func openTransport(address string, kind traffic.Kind, deps Dependencies) (*transport, error) {
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
		conn: conn, port: port, kind: kind, stats: deps.Stats, meter: deps.Traffic.Meter(kind), log: deps.Log, loggedSenders: make(map[string]bool),
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

// receive passes each datagram to handle until ctx ends. The body is valid until handle returns; an
// error of handle means that the datagram is unreadable.
func (t *transport) receive(ctx context.Context, handle func(body []byte) error) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := t.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			wait.Sleep(ctx, receiveRetryDelay)
			continue
		}
		if err := handle(buffer[:n]); err != nil {
			t.recordUnreadable(from, err)
		}
	}
}

// recordUnreadable counts an unreadable datagram and logs the first one of each sender: the sender
// may be a router of another build, which this one cannot see.
func (t *transport) recordUnreadable(from net.Addr, err error) {
	t.stats.DatagramUnreadable()
	host, _, splitErr := net.SplitHostPort(from.String())
	if splitErr != nil || t.loggedSenders[host] || len(t.loggedSenders) >= maxLoggedSenders {
		return
	}
	t.loggedSenders[host] = true
	t.log.Event("datagram_unreadable").Str("from", host).Str("kind", string(t.kind)).Err(err).Msg("")
}
