// Package forwarder is the agent's side of the data path: it receives requests
// from entries, has package admitter admit each to an endpoint of this host, and
// forwards it to that endpoint, streaming in both directions.
//
// The Cowslip-Outcome header of every answer says whether the request ran.
package forwarder
