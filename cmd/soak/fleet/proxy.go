package fleet

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a Proxy does to the bytes that cross it.
type Mode string

// The modes of a Proxy.
const (
	Pass Mode = "pass"
	// Delay holds every piece back for a while.
	Delay Mode = "delay"
	// Reset closes connections as soon as they are opened.
	Reset Mode = "reset"
	// DropResponses loses what the server sends.
	DropResponses Mode = "one-way"
	// DropAll loses everything and keeps connections open.
	DropAll Mode = "silent"
)

const (
	pieceDelay = 80 * time.Millisecond
	pieceSize  = 4 << 10
)

// Proxy forwards connections to an address on the loopback interface.
type Proxy struct {
	listener net.Listener
	server   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// NewProxy starts a proxy before a server.
func NewProxy(server string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, server: server, mode: Pass, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes what happens to bytes from now on. Connections that lost
// bytes never work again; they are closed when bytes pass again.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	lost := p.mode == DropResponses || p.mode == DropAll
	p.mode = m
	p.mu.Unlock()
	if lost || m == Reset {
		p.closeConns()
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.closeConns()
}

func (p *Proxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) current() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	defer p.forget(c)
	if p.current() == Reset {
		return
	}
	server, err := net.Dial("tcp4", p.server)
	if err != nil {
		return
	}
	defer p.forget(server)
	p.mu.Lock()
	p.conns[c], p.conns[server] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(server, c, true, done)
	go p.copy(c, server, false, done)
	<-done
}

func (p *Proxy) forget(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) copy(to io.Writer, from io.Reader, up bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	piece := make([]byte, pieceSize)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			switch m := p.current(); {
			case m == DropAll, m == DropResponses && !up:
				continue
			case m == Delay:
				time.Sleep(pieceDelay)
			}
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
