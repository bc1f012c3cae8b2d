// Package crew runs functions beside a part of a process until that part ends.
// Unlike a plain group it may be given functions while it is being ended.
package crew

import (
	"sync"

	"golang.org/x/sync/errgroup"
)

// Crew is a group of functions. The zero value is ready.
type Crew struct {
	mu    sync.Mutex
	ended bool
	group errgroup.Group
}

// Go runs the function beside others. It reports false, without running it, if
// the crew has ended.
func (c *Crew) Go(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.group.Go(func() error {
		f()
		return nil
	})
	return true
}

// End takes no more functions and waits for those that run.
func (c *Crew) End() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	_ = c.group.Wait() // The functions return no errors.
}
