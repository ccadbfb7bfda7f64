// Package fleet is the soak test harness: it runs router processes with a fake
// store and fake targets, injects faults from outside (signals, and loopback
// proxies that delay, reset or drop traffic) and checks the routers' guarantees.
package fleet
