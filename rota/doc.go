// Package rota decides which routers follow the platform's store for the
// others, so that the store's calls do not grow with the number of routers.
package rota
