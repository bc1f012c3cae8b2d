// Package intaker accepts flows at every entry: it stores submitted and cancelled
// flows, several in one transaction, and answers requests for states and counts
// from the owner, or for states from the store while the owner does not answer.
// Package conductor runs the accepted flows.
package intaker
