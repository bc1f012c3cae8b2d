// Package faulter simulates faults of a host for a component that runs in this
// process. It wraps the component's listener and clock, so that its connections
// can discard all data and the component can be paused as by SIGSTOP.
package faulter
