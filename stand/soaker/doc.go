// Package soaker runs the real programs as processes on loopback, injects
// faults from outside, and checks the invariants that callers and runners can
// observe. Faults are signals to processes, and proxies in front of the store
// and the runners that delay data, reset connections, or drop answers or all
// data. Faults follow one another and overlap; clients use persistent
// connections.
//
// Packages metastore and hostrunner stand in for the platform. Package field
// tests the path from entry to runner within one process, and package try runs
// the system with its own interface instead of the platform's.
package soaker
