// Package forwarder is the agent's side of the data path: it receives requests
// from entries, acquires a slot from package admitter, and forwards them to an
// endpoint of this host, streaming in both directions.
//
// The Cowslip-Outcome header of every answer says whether the request ran.
package forwarder
