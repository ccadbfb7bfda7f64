// Package logbook keeps in the platform's store what the routers know of requests that crash targets,
// so that it outlasts a restart of all of them. The router that counts a crash writes at once; one
// router, which the others agree on, brings the rows and what it knows in line. A router that starts
// reads the rows before it serves.
package logbook
