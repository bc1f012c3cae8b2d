// Package comparer plays days of a deployment with two builds at equal seeds, side by
// side, and tells whether their difference is shown. It runs the users' bench as a
// program and reads its reports. Package measurer compares policies on the stand-ins
// instead.
package comparer
