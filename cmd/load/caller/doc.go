// Package caller is a client of the routers for load generators and tests. It
// checks that each response is complete and belongs to its request.
package caller
