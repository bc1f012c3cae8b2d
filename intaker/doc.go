// Package intaker serves the callers of flows at every entry: it stores what
// is submitted and cancelled, a group at a time, and tells states and counts
// from the owner, or from the store while the owner does not answer. Package
// conductor runs what is accepted.
package intaker
