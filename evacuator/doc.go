// Package evacuator decides which runs leave a failure domain that the operator
// has taken out of service.
//
// It answers the load of a domain with hundreds of runs of all kinds, of which
// nothing may start there any more while what runs may go on: most end within
// seconds and lose by a move, serving tasks may be down only a few at a time, and
// the hosts that remain must not get all of them at once.
//
// It has no network and no clock. Package planner passes it the runs and stops
// those that it names.
package evacuator
