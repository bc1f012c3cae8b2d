// Package supervisor is the agent's side of running flows: it alone speaks to the
// runner beside it, keeps the lease of its runs within what the owner granted,
// carries out the owner's orders, paces filling runs, and reports what runs
// and what has ended.
//
// Package conductor is its peer at the owner, package pacer decides the pace.
// Log lines carry the module name warden, which operators know.
package supervisor
