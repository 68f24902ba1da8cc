//go:build review

package main

import (
	"net"
	"sync"
)

// proxy carries TCP connections from one address to another. While it is cut, they go silent.
type proxy struct {
	Address  string
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     *sync.Cond
	isCut    bool
	closed   bool
	conns    map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{Address: l.Addr().String(), listener: l, target: target, conns: make(map[net.Conn]bool)}
	p.open = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = cut
	p.open.Broadcast()
}

// pass waits until the proxy is not cut, and reports whether it goes on.
func (p *proxy) pass() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.isCut && !p.closed {
		p.open.Wait()
	}
	return !p.closed
}

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(caller)
	}
}

func (p *proxy) relay(caller net.Conn) {
	defer caller.Close()
	if !p.pass() {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	p.mu.Lock()
	p.conns[caller], p.conns[server] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.forward(server, caller, done)
	go p.forward(caller, server, done)
	<-done
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, server)
	p.mu.Unlock()
}

func (p *proxy) forward(to, from net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !p.pass() {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.open.Broadcast()
	for c := range p.conns {
		_ = c.Close()
	}
}
