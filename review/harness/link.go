//go:build review

package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// link carries all that one machine and the others say to each other: the machine uses other ports
// than the others, and the link listens where each side expects the other one.
type link struct {
	outCut, inCut atomic.Bool // from the machine to the others, and back
	mu            sync.Mutex
	proxies       []*proxy
	packets       []net.PacketConn
}

// connect carries what a machine behind the link and another one say to each other.
func (l *link) connect(near, other *router) error {
	for port := portPeers; port < portPeers+3; port++ {
		if err := l.carry(&l.outCut, fmt.Sprintf("%s:%d", other.ip, port+farOffset), fmt.Sprintf("%s:%d", other.ip, port)); err != nil {
			return err
		}
	}
	p, err := newProxy(fmt.Sprintf("%s:%d", other.ip, portControl+farOffset), fmt.Sprintf("%s:%d", other.ip, portControl))
	if err != nil {
		return err
	}
	l.proxies = append(l.proxies, p)
	if len(l.proxies) > 1 {
		return nil // the way to the machine behind the link is there already
	}
	for port := portPeers; port < portPeers+3; port++ {
		if err := l.carry(&l.inCut, fmt.Sprintf("%s:%d", near.ip, port), fmt.Sprintf("%s:%d", near.ip, port+farOffset)); err != nil {
			return err
		}
	}
	p, err = newProxy(fmt.Sprintf("%s:%d", near.ip, portControl), fmt.Sprintf("%s:%d", near.ip, portControl+farOffset))
	l.proxies = append(l.proxies, p)
	return err
}

// carry carries datagrams that come to one address on to another, unless cut.
func (l *link) carry(cut *atomic.Bool, from, to string) error {
	in, err := net.ListenPacket("udp4", from)
	if err != nil {
		return err
	}
	out, err := net.Dial("udp4", to)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.packets = append(l.packets, in)
	l.mu.Unlock()
	go func() {
		defer out.Close()
		buffer := make([]byte, 64<<10)
		for {
			n, _, err := in.ReadFrom(buffer)
			if err != nil {
				return
			}
			if !cut.Load() {
				_, _ = out.Write(buffer[:n]) // fails while the receiver is down
			}
		}
	}()
	return nil
}

// cut cuts the machine off from all others, in one direction or both. Connections go silent.
func (l *link) cut(out, in bool) {
	l.outCut.Store(out)
	l.inCut.Store(in)
	for _, p := range l.proxies {
		p.setCut(out || in) // a connection needs both directions
	}
}

func (l *link) close() {
	for _, p := range l.proxies {
		p.close()
	}
	for _, c := range l.packets {
		_ = c.Close()
	}
}
