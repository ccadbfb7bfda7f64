package fleet

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// The port range of routers. A process takes a block of it, so that its routers' ports stay free while
// these are down.
const (
	firstPort = 12000
	lastPort  = 32000
	blockSize = 1000
	blocks    = (lastPort - firstPort) / blockSize
)

// portBlock is a block of ports that no other process takes while lock is open.
type portBlock struct {
	lock net.Listener
	next int
	last int
}

var (
	portMu   sync.Mutex
	ownBlock *portBlock
)

// takeBlock takes a block of ports, the first free one from a start that differs between processes.
func takeBlock(start int) (*portBlock, error) {
	for n := range blocks {
		first := firstPort + (start+n)%blocks*blockSize
		lock, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			return &portBlock{lock: lock, next: first + 1, last: first + blockSize - 1}, nil
		}
	}
	return nil, fmt.Errorf("takeBlock: no block of ports from %d to %d is free", firstPort, lastPort)
}

// freeAddresses returns unused addresses. Their ports are below the ephemeral
// port range, so that no outgoing connection takes one before the router does.
func freeAddresses(n int) ([]string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	if ownBlock == nil {
		block, err := takeBlock(os.Getpid())
		if err != nil {
			return nil, err
		}
		ownBlock = block
	}
	var out []string
	for len(out) < n {
		if ownBlock.next > ownBlock.last {
			return nil, fmt.Errorf("freeAddresses: no port up to %d is free", ownBlock.last)
		}
		address := fmt.Sprintf("127.0.0.1:%d", ownBlock.next)
		ownBlock.next++
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, address)
	}
	return out, nil
}
