// Package delegator decides whether an entry stores submissions itself or has the
// owner of the flows store them.
//
// It answers a store that has become slow while many entries accept flows. All
// submissions are in one partition, which applies one transaction after another and
// rejects new ones once about a second of them waits. With a transaction of 300 ms,
// three or four writers fill that second: the others get no answer in time, and
// their retries keep it full. One writer that groups the submissions of all entries
// stores 48 of them in each transaction instead.
//
// The package has no network and reads no clock.
package delegator
