// Package path measures a fleet of router processes: latency through one router
// and through a relay, throughput per core, memory per open stream, and what idle
// routers use.
package path
