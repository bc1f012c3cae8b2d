package try

import (
	"context"

	"cowslipbend.dev/stand/faulter"
)

// part is one process of the system, or a worker, that runs in this process
// and can be stopped, killed, paused and cut off alone.
type part struct {
	host *faulter.Host
	url  string
	// stop begins a planned stop, kill ends the part at once.
	stop context.CancelFunc
	kill func()
	done chan struct{}
}
