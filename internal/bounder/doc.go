// Package bounder bounds what the peers of a process can make it hold: the connections
// of each listener. Package server applies it to its listeners.
package bounder
