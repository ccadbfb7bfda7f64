// Package traffic is an open-loop load generator for chats with several turns. It
// reports the latencies and outcomes at the callers.
package traffic
