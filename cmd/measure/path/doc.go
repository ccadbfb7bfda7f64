// Package path measures a whole fleet of processes: latency through one router
// and through a relay, throughput for each core, memory for each open stream,
// and what routers spend while they are idle.
package path
