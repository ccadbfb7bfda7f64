// Package engine is a stand-in for a model engine. It batches up to a number
// of requests, caches prompt prefixes by chat in limited memory, streams
// tokens that name the request they belong to, resumes and cancels streams,
// reports its load late and publishes cache events.
package engine
