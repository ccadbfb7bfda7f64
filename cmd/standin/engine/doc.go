// Package engine is a simulated inference engine for tests. It runs a limited
// number of requests at once, caches prompt prefixes by chat with LRU eviction,
// streams tokens that carry the id of their request, resumes and cancels
// streams, reports its load with a lag and publishes cache events.
package engine
