package crowdtest

import (
	"context"
	"net"
	"sync"
)

// Crowd is a number of clients at an address, of each kind in turn.
type Crowd struct {
	Address string
	// Head is the request line and the headers of each request.
	Head    string
	Kinds   []string
	Clients int
}

// Enter connects the clients and waits until they have sent what the router reads. The returned
// function ends their connections.
func (w Crowd) Enter() (leave func()) {
	var mu sync.Mutex
	var conns []net.Conn
	var sending sync.WaitGroup
	for i := range w.Clients {
		sending.Go(func() {
			d := net.Dialer{Timeout: sendTimeout}
			c, err := d.DialContext(context.Background(), "tcp4", w.Address)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			Kinds[w.Kinds[i%len(w.Kinds)]](c, w.Head)
		})
	}
	sending.Wait()
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}
