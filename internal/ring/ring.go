// Package ring provides a bounded first-in, first-out buffer by which one part of
// a process passes work to another.
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded buffer for many senders and one receiver.
type Ring[T any] struct {
	ch   chan T
	done chan struct{}
	once sync.Once
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{ch: make(chan T, size), done: make(chan struct{})}
}

// Offer adds the item without waiting. It reports false if the ring is full
// or closed.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case <-r.done:
		return false
	default:
	}
	select {
	case r.ch <- item:
		return true
	default:
		return false
	}
}

// Put adds the item, and waits while the ring is full. It reports false if the
// context ends or the ring is closed first.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	select {
	case <-r.done:
		return false
	default:
	}
	select {
	case r.ch <- item:
		return true
	case <-r.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// Items returns the channel from which to receive the items. It is never closed;
// see Done.
func (r *Ring[T]) Items() <-chan T { return r.ch }

// Drain removes and returns up to limit items without waiting.
func (r *Ring[T]) Drain(limit int) []T {
	var items []T
	for len(items) < limit {
		select {
		case item := <-r.ch:
			items = append(items, item)
		default:
			return items
		}
	}
	return items
}

// Close makes every later Offer and Put fail. Items in the ring can still be
// received. It may be called more than once.
func (r *Ring[T]) Close() { r.once.Do(func() { close(r.done) }) }

// Done returns a channel that Close closes.
func (r *Ring[T]) Done() <-chan struct{} { return r.done }
