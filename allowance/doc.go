// Package allowance holds the retry budgets, which decide whether a retry may be
// sent. In a Budget each workspace deposits a fixed fraction of a retry with every
// request and withdraws one with every retry, so that retries never multiply the
// load of an overloaded fleet. A WindowBudget limits the retries of each service
// in a sliding window, for all routers together.
package allowance
