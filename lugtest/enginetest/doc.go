// Package enginetest simulates model engines, the routers in front of them and
// their callers on a fake clock, to test the decisions of package fitting under
// load patterns. An engine prefills prompts one after the other, runs a batch
// whose steps take longer the larger it is, caches the prompts it has prefilled,
// and queues the requests that exceed its slots. Preemption, limits of the cache
// and lost responses are not simulated.
package enginetest
