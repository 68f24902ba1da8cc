package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/tomlfile"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

const (
	unframedHead = "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n"
	// roleVariable makes the test binary a backend server, whose value tells what it does after half an answer.
	roleVariable = "CROFTVALE_TEST_SERVER"
)

// TestMain runs the tests, or a backend server.
func TestMain(m *testing.M) {
	if role := os.Getenv(roleVariable); role != "" {
		serveUnframed(role)
		return
	}
	os.Exit(m.Run())
}

// serveUnframed answers each request without a length. It exits amid the answer if its role is to exit.
func serveUnframed(role string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return
	}
	fmt.Println(listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		answer := func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body) // unread bytes would reset the connection
			_, _ = io.WriteString(conn, unframedHead+"ans")
			time.Sleep(50 * time.Millisecond)
			if role == "exit" {
				os.Exit(0)
			}
			_, _ = io.WriteString(conn, "wer")
		}
		if role == "one at a time" {
			answer()
			continue
		}
		go answer()
	}
}

// startUnframed starts a backend server with a role, and returns the URL of its agent's proxy.
func startUnframed(t *testing.T, role string) string {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleVariable+"="+role)
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	address, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	p := newProxy(&core{events: make(chan event, 100)}, &log.Logger{Level: log.PanicLevel})
	p.target.Store(&target{server: bundle.Server{Address: tomlfile.Address{AddrPort: netip.MustParseAddrPort(strings.TrimSpace(address))}}})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.forward(w, r, p.target.Load()) }))
	t.Cleanup(s.Close)
	return s.URL
}

// TestUnframedEndIsNoEnd guards against responses that look whole though the backend server ended amid them, since they
// have neither a length nor chunks.
func TestUnframedEndIsNoEnd(t *testing.T) {
	_, body, err := post(t, startUnframed(t, "exit"))
	require.Error(t, err, "%q looks whole", body)
}

// TestUnframedSoundResponseIsWhole checks that servers that go on may send such responses, also those that serve one
// connection at a time.
func TestUnframedSoundResponseIsWhole(t *testing.T) {
	for _, role := range []string{"sound", "one at a time"} {
		url := startUnframed(t, role)
		for range 5 {
			_, body, err := post(t, url)
			require.NoError(t, err, role)
			require.Equal(t, "answer", body, role)
		}
	}
}
