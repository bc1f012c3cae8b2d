// Package checker decodes declarations strictly and validates a whole set at
// once. It reports every fault with file, line, path and remedy. The command
// cowslip and the entries share it, so that a set that passes validation in
// version control is accepted by the system.
package checker
