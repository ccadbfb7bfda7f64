// Package dispatch is the cache-aware request placement: it decides which
// engine serves a chat, and which router owns admission for an engine.
//
// Chats are placed by rendezvous hashing. The router that owns admission for
// an engine has a CacheIndex of the chats whose prompts are cached there and
// of those that were sent to other engines. The router that received the
// request follows a Route of redirects and spills until an engine admits it.
package dispatch
