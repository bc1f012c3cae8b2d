// Package bounder bounds what the peers of a process can make it hold: the connections
// of each listener, and the bodies of requests until they have been handled. Package
// server applies it to its listeners.
package bounder
