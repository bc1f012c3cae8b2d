package try

import (
	"context"

	"cowslipbend.dev/stand/faulter"
)

// component is an entry, an agent or a simulated worker. It runs within this
// process, and can be stopped and killed separately. Entries and agents have a
// host, by which they can be paused and their connections blackholed.
type component struct {
	host *faulter.Host
	url  string
	// stop begins a planned stop, and kill ends the component at once. done is
	// closed when it has ended.
	stop context.CancelFunc
	kill func()
	done chan struct{}
}
