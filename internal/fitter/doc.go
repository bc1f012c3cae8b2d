// Package fitter encodes lists as rows that the store takes. Packages estimator and
// predictor keep their estimates in such rows.
package fitter
