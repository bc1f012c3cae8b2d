// Package publisher stores and distributes the configuration. Store.Publish
// writes a validated set to the object store under its digest and advances
// the head row by compare-and-set. A Holder is one process's copy: its
// revision only increases, and it pulls newer sets from peers.
package publisher
