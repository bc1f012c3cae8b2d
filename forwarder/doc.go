// Package forwarder is the agent's side of the data path: it takes requests
// from entries, asks package admitter for a slot, and carries them to an
// endpoint of this host, streaming both ways.
//
// Every answer says in the Cowslip-Outcome header whether the request ran.
package forwarder
