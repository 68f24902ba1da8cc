package delay

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// hallsPerBlock is how many values of an IP number's third part one hall has.
const hallsPerBlock = 8

// Dialer dials with the distance from its own hall.
type Dialer struct {
	hall   int
	oneWay time.Duration
	cuts   *Cuts
	base   net.Dialer
}

// NewDialer returns a dialer for a process in a hall.
func NewDialer(hall int, oneWay time.Duration, cuts *Cuts) *Dialer {
	return &Dialer{hall: hall, oneWay: oneWay, cuts: cuts, base: net.Dialer{Timeout: 2 * time.Second}}
}

// DialContext connects to an address; another hall is at a distance.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	hall := HallOf(address)
	if hall == d.hall {
		return d.base.DialContext(ctx, network, address)
	}
	if err := d.reach(ctx, hall); err != nil {
		return nil, err
	}
	far, err := d.base.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	near, inner := net.Pipe()
	go d.carry(far, inner, Direction{d.hall, hall})
	go d.carry(inner, far, Direction{hall, d.hall})
	return near, nil
}

// reach lets the time of a handshake pass, and fails like a lost one where a
// direction is cut.
func (d *Dialer) reach(ctx context.Context, hall int) error {
	deadline := time.After(d.base.Timeout)
	for d.cuts.Has(Direction{d.hall, hall}) || d.cuts.Has(Direction{hall, d.hall}) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-deadline:
			return context.DeadlineExceeded
		case <-time.After(readCutsEvery):
		}
	}
	time.Sleep(2 * d.oneWay)
	return nil
}

// HallOf returns the hall of a lab's address.
func HallOf(address string) int {
	host, _, _ := net.SplitHostPort(address)
	parts := strings.Split(host, ".")
	if len(parts) != 4 {
		return 0
	}
	n, _ := strconv.Atoi(parts[2])
	return n / hallsPerBlock
}

// piece is bytes on their way.
type piece struct {
	due  time.Time
	data []byte
}

const (
	pieceSize = 32 << 10
	inFlight  = 256
)

// carry moves bytes one way, each piece after the delay. Pieces under way when
// the direction is cut wait for its healing, as a retransmission would.
func (d *Dialer) carry(dst io.WriteCloser, src io.ReadCloser, way Direction) {
	pieces := make(chan piece, inFlight)
	go func() {
		defer close(pieces)
		buf := make([]byte, pieceSize)
		for {
			n, err := src.Read(buf)
			if n > 0 {
				pieces <- piece{time.Now().Add(d.oneWay), append([]byte(nil), buf[:n]...)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		for d.cuts.Has(way) {
			time.Sleep(readCutsEvery)
		}
		if _, err := dst.Write(p.data); err != nil {
			_ = src.Close()
		}
	}
	_ = dst.Close()
}
