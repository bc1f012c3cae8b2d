// Package ruler keeps the operator's rules in force: it follows the table in
// which they are written and adopts newer versions only.
package ruler
