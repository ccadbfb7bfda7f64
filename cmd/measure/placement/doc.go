// Package placement compares ways to place chats on one trace: it drives the
// decisions of the fleet, and simpler ways beside them, on a fake clock with
// churn, lagging views and a surge.
package placement
