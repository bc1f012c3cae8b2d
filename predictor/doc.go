// Package predictor estimates how long the tasks of a step run at full speed. It
// reads no clock and does no I/O.
//
// It answers loads whose declared lengths are wrong, by up to 0.9 of their value,
// while the tasks of one step resemble each other: runs of the same step count most,
// then ended runs of the same queue and image, then the declared length. Each of the
// three is weighted by the inverse of its variance. A run in thirty or so may take
// several times as long as the others, so all estimates are robust: medians, and
// means whose samples are clipped.
//
// Estimates are of the logarithm of the length, as errors are relative.
package predictor
