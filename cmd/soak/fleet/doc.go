// Package fleet runs routers as processes before stand-ins of the platform and
// injects faults from outside them: signals, and loopback proxies that delay,
// reset, cut or silence connections.
package fleet
