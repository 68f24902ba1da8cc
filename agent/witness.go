package agent

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/croftvale/croftvale/internal/socket"
)

const (
	// witnessInterval is when the connection of a witness is replaced. Servers close idle ones after a second or more.
	witnessInterval = 500 * time.Millisecond
	// witnessDialTimeout bounds the setup of one.
	witnessDialTimeout = time.Second
	// teardownTime is how long a server that stops may take to close its connections one after the other.
	teardownTime = 20 * time.Millisecond
)

// witness keeps a connection to the backend server open that carries no request, while a response without a length or
// chunks runs. If the server holds it after the end of the response, it has neither ended nor closed its connections.
type witness struct {
	address string
	cancel  context.CancelFunc
	ended   sync.WaitGroup

	mu   sync.Mutex
	conn net.Conn // nil: the server was not seen to go on
}

// newWitness returns a witness of the server at an address. Close ends it.
func newWitness(ctx context.Context, address string) *witness {
	ctx, cancel := context.WithCancel(ctx)
	w := &witness{address: address, cancel: cancel}
	w.conn = w.dial(ctx)
	w.ended.Go(func() { w.run(ctx) })
	return w
}

// dial returns a connection, or nil.
func (w *witness) dial(ctx context.Context) net.Conn {
	conn, err := (&net.Dialer{Timeout: witnessDialTimeout}).DialContext(ctx, "tcp", w.address)
	if err != nil {
		return nil
	}
	return conn
}

// run replaces the connection until ctx ends.
func (w *witness) run(ctx context.Context) {
	ticker := time.NewTicker(witnessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.replace(w.dial(ctx))
		}
	}
}

// replace replaces the connection. If the server has closed the one before, another process may hold the next.
func (w *witness) replace(next net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if next == nil {
		return
	}
	if w.conn == nil || socket.IsEnding(w.conn) {
		_ = next.Close()
		return
	}
	_ = w.conn.Close()
	w.conn = next
}

// holds reports whether the server still holds the connection once it would have closed it if it stopped.
func (w *witness) holds() bool {
	time.Sleep(teardownTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn != nil && !socket.IsEnding(w.conn)
}

// Close closes the connection.
func (w *witness) Close() {
	w.cancel()
	w.ended.Wait()
	if w.conn != nil {
		_ = w.conn.Close()
	}
}

// witnessedBody reads an unframed body, and returns io.ErrUnexpectedEOF at its end unless the server goes on.
type witnessedBody struct {
	body    io.Reader
	witness *witness
}

// Read implements io.Reader.
func (b *witnessedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF && !b.witness.holds() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
