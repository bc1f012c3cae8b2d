// Package ruler maintains the operator's rules that are in force: it watches
// the table that holds them and adopts a row only if its version is newer.
package ruler
