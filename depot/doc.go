// Package depot holds the interfaces of the store that the router's own API
// uses: a transactional table, an object store and a list of VMs. One client
// implements them over HTTP.
package depot
