// Package reception is the HTTP plumbing that every program shares: servers
// and clients with the middlewares switched off that would duplicate the
// decisions of the fleet, problem answers, and logs.
package reception
