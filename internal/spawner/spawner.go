// Package spawner starts goroutines that belong to a component and waits for
// them when the component ends. Unlike an errgroup, a Group may be given
// functions while it is ending.
package spawner

import (
	"sync"

	"golang.org/x/sync/errgroup"
)

// Group is a group of functions. The zero value is ready.
type Group struct {
	mu    sync.Mutex
	ended bool
	group errgroup.Group
}

// Go runs the function beside others. It reports false, without running it, if
// the group has ended.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return false
	}
	g.group.Go(func() error {
		f()
		return nil
	})
	return true
}

// End takes no more functions and waits for those that run.
func (g *Group) End() {
	g.mu.Lock()
	g.ended = true
	g.mu.Unlock()
	_ = g.group.Wait() // The functions return no errors.
}
