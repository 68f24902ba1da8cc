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

// socket is open for datagrams of other routers, which use the same port.
type socket struct {
	conn net.PacketConn
	port int
}

// openSocket opens a socket for what other routers tell.
func openSocket(address string) (socket, error) {
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return socket{}, errors.Wrapf(err, "settings: the address %q for other routers: choose one of this host that is not in use", address)
	}
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return socket{}, err
	}
	port, err := strconv.Atoi(text)
	return socket{conn, port}, err
}

// receive hands each datagram to take until ctx ends. What take gets is valid
// until it returns.
func (s socket) receive(ctx context.Context, take func(body []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, datagram)
	for {
		n, _, err := s.conn.ReadFrom(buffer)
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

// sender sends datagrams to a port of other routers. Any of them may be lost, so a
// failure is counted and nothing more.
type sender struct {
	socket
	stats *stats.Stats
	meter *traffic.Meter
}

func (s sender) send(address string, path traffic.Path, body []byte) {
	s.meter.Add(path, len(body))
	to, err := netip.ParseAddr(address)
	if err == nil {
		_, err = s.conn.WriteTo(body, net.UDPAddrFromAddrPort(netip.AddrPortFrom(to, uint16(s.port))))
	}
	if err != nil {
		s.stats.DatagramFailed()
	}
}
