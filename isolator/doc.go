// Package isolator decides which tasks may have crashed a host, for how long such a
// task is tried apart from those of other flows, and when it is given up. The load that
// it answers is a task that crashes every host that starts it, among many that share
// hosts with it and are lost with them, and hosts that also crash for other causes.
//
// It has no network and no clock. Package planner keeps the records with its tasks,
// stores them, and places the tasks; package supervisor tells how old the runs on a
// crashed host were.
package isolator
