// Package timer implements the cowslipbend.Clock interface. Host reads the
// clocks of the operating system; the time of Manual is advanced by tests.
package timer
