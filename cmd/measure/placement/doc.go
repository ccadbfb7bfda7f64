// Package placement simulates policies for placing chats on engines: it replays
// one trace with the product's decision code and with simpler policies, on a
// fake clock with churn, delayed views and a surge.
package placement
