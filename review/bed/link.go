package main

import (
	"net"
	"sync"
	"time"
)

// link passes connections on to an address with a bandwidth in each direction, which they
// share.
type link struct {
	target   string
	down, up pipe
}

// pipe lets so many bytes a second pass.
type pipe struct {
	mu   sync.Mutex
	rate float64
	free time.Time
}

// pass waits until the bytes have passed.
func (p *pipe) pass(n int) {
	p.mu.Lock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	wait := p.free.Sub(now)
	p.mu.Unlock()
	time.Sleep(wait)
}

// newLink listens on an address.
func newLink(addr, target string, mbps int) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	l := &link{target: target, down: pipe{rate: float64(mbps) * 1e6 / 8}, up: pipe{rate: float64(mbps) * 1e6 / 8}}
	group.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			group.Go(func() { l.serve(conn) })
		}
	})
	return nil
}

func (l *link) serve(conn net.Conn) {
	peer, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	group.Go(func() { copyOver(peer, conn, &l.up) })
	copyOver(conn, peer, &l.down)
}

// copyOver copies until either end closes.
func copyOver(to, from net.Conn, p *pipe) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, 8<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.pass(n)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
