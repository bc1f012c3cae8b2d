// Package timer implements the cowslipbend.Clock interface. Host reads the
// clocks of the operating system; Manual is a clock that tests advance.
package timer
