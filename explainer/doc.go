// Package explainer builds the timeline of one flow from the log lines of all
// processes: the decisions about the flow, and the events of the hosts on which
// it ran.
//
// Packages intaker, conductor, elector and supervisor write the lines; command
// cowslip explain shows the timeline.
package explainer
