// Package explainer tells the story of one flow from the log lines of all
// processes: what was decided about it, and what became of the hosts on which
// it ran.
//
// Packages intaker, conductor, elector and supervisor write the lines; command
// cowslip explain shows the story.
package explainer
