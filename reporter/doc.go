// Package reporter counts what became of the requests of each service and
// reports how fast their error budgets burn. Each entry has a Recorder, which
// keeps counts by minute and writes them to rows of the platform's table, so
// that they survive the loss of any host. A Report merges the rows of all
// entries; package renderer draws it.
package reporter
