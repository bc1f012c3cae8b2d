// Package spawner starts goroutines of a component and waits for them when the
// component ends. Unlike in an errgroup, Go may be called concurrently with End,
// which waits.
package spawner

import (
	"sync"

	"golang.org/x/sync/errgroup"
)

// Group is a group of goroutines. The zero value is ready to use.
type Group struct {
	// Guard calls each function and handles its panics. If it is nil, a panic ends the
	// process. It must be set before the first call of Go.
	Guard func(func())

	mu    sync.Mutex
	ended bool
	group errgroup.Group
}

// Go runs the function in a goroutine of its own. It reports false, without
// running it, if End was called.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return false
	}
	g.group.Go(func() error {
		if g.Guard != nil {
			g.Guard(f)
			return nil
		}
		f()
		return nil
	})
	return true
}

// End makes later calls of Go return false and waits for the running functions.
func (g *Group) End() {
	g.mu.Lock()
	g.ended = true
	g.mu.Unlock()
	_ = g.group.Wait() // The functions return no errors.
}
