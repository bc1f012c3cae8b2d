// Package router sends a caller's request to an agent and determines its
// outcome. A refused attempt is retried at another agent. After a lost answer
// the router queries the agent on a new connection; a non-idempotent request
// is reported as not run, or retried, only if the agent confirms that it has
// not run and never will.
//
// Package tracker provides the targets, package receiver the requests.
package router
