// Package keeper implements cowslipbend.Table and cowslipbend.Objects in memory,
// with faults on demand. Unit tests use it directly; the simulated platform
// serves it over HTTP.
package keeper
