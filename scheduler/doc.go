// Package scheduler runs a pool. Engine is a deterministic state machine that
// turns submissions, heartbeats and time into journal records. Owner commits
// the records, and only then sends orders to agents and acknowledges reports.
// Owners takes over and gives up the pools of an entry.
package scheduler
