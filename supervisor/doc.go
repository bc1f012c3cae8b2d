// Package supervisor controls the runner beside an agent, as the only part that
// calls it. It renews the lease of the runs within what the owner of the flows
// granted, executes the owner's orders, sets the paces of filling runs, and
// reports the runs and their ends to the owner.
//
// Package conductor is its peer at the owner, and package pacer decides the
// paces. Its log module is named warden, the name that operators know.
package supervisor
