// Package dispatch decides placement: which engine serves a chat, and which
// router admits for an engine.
//
// Chats are placed by rendezvous hashing. The router that admits for an engine
// keeps a Keeper, which knows the chats cached there and those that were sent
// elsewhere. The router that took the request follows a Route from one
// admitting router to the next until one admits.
package dispatch
