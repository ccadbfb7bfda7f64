// Package traffic sends an open-loop load of returning chats to the fleet and
// reports what callers saw of it.
package traffic
