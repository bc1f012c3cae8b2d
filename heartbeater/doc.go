// Package heartbeater sends an agent's heartbeats to the entries and applies
// their replies, which contain other entries, the owner of the pool, renewals of
// the batch lease, acknowledgements of reports, and the revision of the
// configuration.
//
// It reads the state of packages admitter and tasker. Package tracker receives
// the heartbeats.
package heartbeater
