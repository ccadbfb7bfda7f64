// Package channel is a pool of HTTP/1.1 connections to targets. A connection
// serves one request at a time and is reused only while it is healthy. The pool
// never retries: its errors tell whether a byte may have been sent.
package channel
