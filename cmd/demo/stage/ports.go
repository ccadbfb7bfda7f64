package stage

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Listening ports lie below the kernel's ephemeral range, so that no outgoing
// connection takes one of them.
const (
	firstPort = 10000
	portCount = 20000
)

var (
	portMu   sync.Mutex
	nextPort = os.Getpid() * 37 % portCount
)

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range portCount {
		nextPort = (nextPort + 1) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort)
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("freeAddress: no port is free")
}
