package gateway

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cpuTime returns the processor time used so far by the process (RUSAGE_SELF) or by the
// calling thread (RUSAGE_THREAD).
func cpuTime(who int) time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(who, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRefusal measures refusals of requests with a body of 6 KB over TCP, on kept and
// on new connections. server-us/op is the router's processor time per request, without that
// of the caller's thread.
func BenchmarkRefusal(b *testing.B) {
	for _, kept := range []bool{true, false} {
		b.Run(fmt.Sprintf("kept=%v", kept), func(b *testing.B) {
			f := floodedFront(b)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			server := &http.Server{Handler: f, ConnState: f.conns.connState, ConnContext: f.conns.connContext}
			go func() { _ = server.Serve(callerListener{ln, f.conns, func() bool { return false }, time.Sleep}) }()
			defer server.Close()
			body := bytes.Repeat([]byte("x"), 6000)
			request := []byte(fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			to := &syscall.SockaddrInet4{Port: ln.Addr().(*net.TCPAddr).Port, Addr: [4]byte{127, 0, 0, 1}}
			open := func() int {
				fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
				require.NoError(b, err)
				require.NoError(b, syscall.Connect(fd, to))
				return fd
			}
			fd := open()
			resp := make([]byte, 4096)
			processBefore, threadBefore := cpuTime(syscall.RUSAGE_SELF), cpuTime(syscall.RUSAGE_THREAD)
			for b.Loop() {
				if !kept {
					_ = syscall.Close(fd)
					fd = open()
				}
				_, err := syscall.Write(fd, request)
				require.NoError(b, err)
				n, err := syscall.Read(fd, resp)
				require.NoError(b, err)
				require.True(b, bytes.HasPrefix(resp[:n], []byte("HTTP/1.1 503")))
			}
			spent := cpuTime(syscall.RUSAGE_SELF) - processBefore - (cpuTime(syscall.RUSAGE_THREAD) - threadBefore)
			b.ReportMetric(float64(spent)/float64(b.N)/1000, "server-us/op")
		})
	}
}
