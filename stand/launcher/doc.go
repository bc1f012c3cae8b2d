// Package launcher starts the real programs as processes with settings of the platform.
// Packages soaker and crowder use it.
package launcher
