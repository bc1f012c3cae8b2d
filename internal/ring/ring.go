// Package ring joins the threads of duties by bounded first-in, first-out
// buffers. It is used wherever one part of a process hands work to another.
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

// New returns a ring with room for size items.
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

// Put adds the item and waits for room. It reports false if the context ended
// or the ring was closed first.
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

// Items returns the receiving side.
func (r *Ring[T]) Items() <-chan T { return r.ch }

// Drain returns up to limit items that are there now, without waiting.
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

// Close makes every later Offer and Put fail. Items inside can still be read.
func (r *Ring[T]) Close() { r.once.Do(func() { close(r.done) }) }

// Done is closed by Close.
func (r *Ring[T]) Done() <-chan struct{} { return r.done }
