package reception

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"vanillalug.example/intake"
)

// Intake bounds what the servers of a process hold for their clients: all that use it share one
// account.
type Intake struct {
	account *intake.Account
	onEvict func(Eviction)

	groups    atomic.Int32
	lingering atomic.Int32

	mu    sync.Mutex
	conns map[*intake.Holder]*heldConn
}

// Eviction is a connection that was given up.
type Eviction struct {
	intake.Eviction
	// Server and Client are the listener's name and the address of the other side.
	Server string
	Client string
}

// NewIntake returns an Intake for servers that share the account. onEvict is called for each
// connection that is given up.
func NewIntake(account *intake.Account, onEvict func(Eviction)) *Intake {
	return &Intake{account: account, onEvict: onEvict, conns: map[*intake.Holder]*heldConn{}}
}

// Held returns what is held of a kind, in bytes.
func (i *Intake) Held(k intake.Kind) int64 { return i.account.Held(k) }

// open adds a connection, or returns nil if there is no room for it.
func (i *Intake) open(s *Server, group intake.Group, c *net.TCPConn) *heldConn {
	address, _ := netip.ParseAddrPort(c.RemoteAddr().String())
	h, evictions := i.account.Open(group, s.opts.maxConns, address.Addr(), time.Now())
	i.evict(evictions)
	if h == nil {
		return nil
	}
	held := &heldConn{TCPConn: c, intake: i, holder: h, server: s.name}
	i.mu.Lock()
	i.conns[h] = held
	i.mu.Unlock()
	return held
}

func (i *Intake) remove(h *intake.Holder) {
	h.Close()
	i.mu.Lock()
	delete(i.conns, h)
	i.mu.Unlock()
}

// evict gives up connections as the account has decided.
func (i *Intake) evict(evictions []intake.Eviction) {
	for _, e := range evictions {
		i.mu.Lock()
		c := i.conns[e.Holder]
		i.mu.Unlock()
		if c == nil {
			continue
		}
		c.giveUp()
		if i.onEvict != nil {
			i.onEvict(Eviction{Eviction: e, Server: c.server, Client: c.RemoteAddr().String()})
		}
	}
}

// heldListener accepts connections that are accounted for.
type heldListener struct {
	net.Listener
	server *Server
	intake *Intake
	group  intake.Group
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (l *heldListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		if held := l.intake.open(l.server, l.group, tcp); held != nil {
			return held, nil
		}
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}
