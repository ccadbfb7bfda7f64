// Package edition decides at which software version of a service a stream goes on: only at the
// one that began it. It keeps the records of which version that was, selects the routers that
// hold them, and judges what these answer. It does no I/O.
package edition
