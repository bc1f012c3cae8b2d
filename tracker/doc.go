// Package tracker is an entry's view of the agents and the other entries. It is
// built from heartbeats and from the state that agents send with each answer.
// The view may be out of date and only guides choices: agents decide whether a
// request runs, the journal decides about tasks.
package tracker
