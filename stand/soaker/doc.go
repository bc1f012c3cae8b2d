// Package soaker runs the real programs as processes on loopback, injects
// faults from outside, and checks what callers and runners see: signals to
// processes, and proxies before the store and the runners that delay, cut,
// silence and lose answers. Faults come in series and overlap; clients keep
// their connections.
//
// Packages metastore and hostrunner are the platform. Package field plays the
// whole path within one process, package try the product's own interface.
package soaker
