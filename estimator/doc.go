// Package estimator estimates how strongly filling images interfere with
// serving ones. It is made for hosts on which a few pairs of images interfere
// strongly and most hardly at all, while the base load of the serving tasks
// varies.
//
// A serving task is modelled as a queue: its tail latency is the tail without
// load divided by the share of time that is not taken. Its load, the share that
// is taken, is its base load plus, for each filling image, an interference
// coefficient times the share of the host's processors that the image uses. A
// Kalman filter with independent terms estimates the coefficients. It also tracks the
// base load of each group of serving tasks, level and slope, which the hosts of the
// group share, and the deviation of each host from it. So a change when filling work
// begins or ends on one host is told from a swing of the base load on all.
//
// The estimates of pairs are encoded as a row that an owner passes on to the next one.
//
// Package planner feeds it the reports of all hosts and keeps pairs with strong
// interference apart. Package pacer uses the same estimates beside one runner.
package estimator
