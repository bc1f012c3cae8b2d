// Package speculator decides when a second run of a task is worth its work. It
// is made for steps of short tasks of which a few runs in a hundred take several
// times as long as the others, so that most steps of ten tasks would wait for
// one of them.
//
// A run is compared with the other runs of its step by its progress, not by its
// declared length, which may be wrong by a factor of ten. It is an outlier if its
// projected length is well beyond the median of the step. If many runs are, the
// cause is the load and no run is an outlier.
//
// The package keeps no state and reads no clock. Package planner passes it what
// hosts report, places the copies and stops the run that loses.
package speculator
