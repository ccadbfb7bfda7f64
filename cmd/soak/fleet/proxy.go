package fleet

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a Proxy handles the traffic that passes through it.
type Mode string

// The modes of a Proxy.
const (
	Pass Mode = "pass"
	// Delay delays every chunk by chunkDelay.
	Delay Mode = "delay"
	// Reset closes connections as soon as they are opened.
	Reset Mode = "reset"
	// DropResponses drops what the server sends.
	DropResponses Mode = "one-way"
	// DropAll drops all traffic and keeps connections open.
	DropAll Mode = "silent"
)

const (
	chunkDelay = 80 * time.Millisecond
	chunkSize  = 4 << 10
	// storeBandwidth is that of a connection to the store, in bytes a second: 10 Mbit/s.
	storeBandwidth = 1_250_000
)

// Proxy forwards connections to an address on the loopback interface.
type Proxy struct {
	listener net.Listener
	server   string
	// bandwidth is that of what the server sends, in bytes a second; 0 is no limit.
	bandwidth int

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// NewProxy starts a proxy in front of a server.
func NewProxy(server string) (*Proxy, error) { return newProxy(server, 0) }

// NewNarrowProxy starts a proxy of which each connection carries that many bytes a second from the server.
func NewNarrowProxy(server string, bandwidth int) (*Proxy, error) { return newProxy(server, bandwidth) }

func newProxy(server string, bandwidth int) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, server: server, bandwidth: bandwidth, mode: Pass, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode sets the mode. Connections that dropped bytes can't be used any more;
// they are closed when the dropping ends.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	dropping := p.mode == DropResponses || p.mode == DropAll
	p.mode = m
	p.mu.Unlock()
	if dropping || m == Reset {
		p.closeConns()
	}
}

// Close stops the proxy and closes its connections.
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
	defer p.closeConn(c)
	if p.current() == Reset {
		return
	}
	server, err := net.Dial("tcp4", p.server)
	if err != nil {
		return
	}
	defer p.closeConn(server)
	p.mu.Lock()
	p.conns[c], p.conns[server] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(server, c, true, done)
	go p.copy(c, server, false, done)
	<-done
}

func (p *Proxy) closeConn(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) copy(to io.Writer, from io.Reader, toServer bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, chunkSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch m := p.current(); {
			case m == DropAll, m == DropResponses && !toServer:
				continue
			case m == Delay:
				time.Sleep(chunkDelay)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
			if !toServer && p.bandwidth > 0 {
				time.Sleep(time.Duration(n) * time.Second / time.Duration(p.bandwidth))
			}
		}
		if err != nil {
			return
		}
	}
}
