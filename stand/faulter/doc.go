// Package faulter plays faults of a host on a part that runs in this process:
// it wraps the part's listener and clock, so that its connections fall silent
// and the part stands still as a stopped process would.
package faulter
