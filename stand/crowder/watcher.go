package crowder

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
)

// watchInterval is the time between two samples.
const watchInterval = 20 * time.Millisecond

// Usage is what a process uses, or the most that it has used.
type Usage struct {
	// Memory is the largest resident memory of the process so far, Unread what the kernel
	// has received for it and it has not read, and Total their largest sum at one moment.
	Memory, Unread, Total cowslipbend.Bytes
	// Descriptors is the number of open descriptors, Sockets that of sockets and pipes.
	Descriptors, Sockets int
}

// String returns all figures.
func (u Usage) String() string {
	mb := func(n cowslipbend.Bytes) string { return fmt.Sprintf("%.1f", float64(n)/float64(cowslipbend.MB)) }
	return fmt.Sprintf("memory_mb=%s unread_mb=%s total_mb=%s descriptors=%d sockets=%d", mb(u.Memory), mb(u.Unread), mb(u.Total), u.Descriptors, u.Sockets)
}

// add raises each figure to that of the other usage.
func (u *Usage) add(other Usage) {
	u.Memory, u.Unread, u.Total = max(u.Memory, other.Memory), max(u.Unread, other.Unread), max(u.Total, other.Total)
	u.Descriptors, u.Sockets = max(u.Descriptors, other.Descriptors), max(u.Sockets, other.Sockets)
}

// Watcher samples what a process uses.
type Watcher struct {
	id        int
	listeners map[string]bool
	group     errgroup.Group
	stop      context.CancelFunc

	// failed is called with the first error.
	failed context.CancelCauseFunc

	mu      sync.Mutex
	peak    Usage
	samples int
	failure error
}

// Watch starts to sample the process with the id, which listens on the addresses. It calls
// failed if the process ends.
func Watch(ctx context.Context, failed context.CancelCauseFunc, id int, addresses ...string) (*Watcher, error) {
	w := &Watcher{id: id, listeners: map[string]bool{}, failed: failed}
	for _, a := range addresses {
		addr, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, err
		}
		w.listeners[procAddress(addr)] = true
	}
	ctx, w.stop = context.WithCancel(ctx)
	for _, measure := range []func() (Usage, error){w.descriptors, w.memory} {
		w.group.Go(func() error {
			for ; ctx.Err() == nil; sleep(ctx, watchInterval) {
				w.add(measure())
			}
			return nil
		})
	}
	return w, nil
}

// Sample takes a sample at once.
func (w *Watcher) Sample() {
	w.add(w.descriptors())
	w.add(w.memory())
}

// add adds a sample. The first one that fails is kept.
func (w *Watcher) add(u Usage, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		if w.failure == nil {
			w.failure = err
			w.failed(err)
		}
		return
	}
	w.peak.add(u)
	w.samples++
}

// End takes a last sample. It returns the peak of all of them and their number, and an error
// if the process has ended.
func (w *Watcher) End() (peak Usage, samples int, err error) {
	w.stop()
	_ = w.group.Wait() // It returns no error.
	w.Sample()
	return w.peak, w.samples, w.failure
}

func (w *Watcher) dir() string { return fmt.Sprintf("/proc/%d/", w.id) }

// memory returns the memory that the process uses now.
func (w *Watcher) memory() (u Usage, err error) {
	for _, table := range []string{"tcp", "tcp6"} {
		rows, err := os.ReadFile(w.dir() + "net/" + table)
		if table == "tcp6" && os.IsNotExist(err) { // The kernel has no IPv6.
			continue
		}
		if err != nil {
			return u, err
		}
		u.Unread += w.unread(rows)
	}
	status, err := os.ReadFile(w.dir() + "status")
	if err != nil {
		return u, err
	}
	if state := field(status, "State:"); state == "" || state == "Z" || state == "X" {
		return u, cowslipbend.Fail(cowslipbend.KindDown, fmt.Sprintf("process %d has ended", w.id), "see its log")
	}
	kb, err := strconv.ParseInt(field(status, "VmHWM:"), 10, 64)
	if err != nil {
		return u, err
	}
	u.Memory = cowslipbend.Bytes(kb) << 10
	u.Total = u.Memory + u.Unread
	return u, nil
}

// descriptors returns the descriptors that the process has open now.
func (w *Watcher) descriptors() (u Usage, err error) {
	entries, err := os.ReadDir(w.dir() + "fd")
	if err != nil {
		return u, err
	}
	for _, e := range entries {
		target, err := os.Readlink(w.dir() + "fd/" + e.Name())
		if err != nil {
			continue // It was closed meanwhile.
		}
		u.Descriptors++
		if strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:") {
			u.Sockets++
		}
	}
	return u, nil
}

// field returns the first word after the name of a line.
func field(status []byte, name string) string {
	for line := range strings.Lines(string(status)) {
		if words := strings.Fields(line); len(words) > 1 && words[0] == name {
			return words[1]
		}
	}
	return ""
}

// Columns of /proc/net/tcp after the number of the row.
const (
	columnState  = 2
	columnQueues = 3
	stateListen  = "0A" // its receive queue counts connections
)

// unread returns the bytes that the kernel holds unread for connections to the listeners.
func (w *Watcher) unread(rows []byte) (sum cowslipbend.Bytes) {
	for line := range bytes.Lines(rows) {
		_, row, _ := bytes.Cut(line, []byte(": "))
		local, _, _ := bytes.Cut(row, []byte(" "))
		if !w.listeners[string(local)] {
			continue
		}
		columns := strings.Fields(string(row))
		if len(columns) <= columnQueues || columns[columnState] == stateListen {
			continue
		}
		_, received, _ := strings.Cut(columns[columnQueues], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err == nil {
			sum += cowslipbend.Bytes(n)
		}
	}
	return sum
}

// procAddress returns the address as the kernel writes it: each word of four bytes as a number
// of the host.
func procAddress(a netip.AddrPort) string {
	var text strings.Builder
	for ip := a.Addr().AsSlice(); len(ip) > 0; ip = ip[4:] {
		fmt.Fprintf(&text, "%08X", binary.NativeEndian.Uint32(ip))
	}
	return fmt.Sprintf("%s:%04X", text.String(), a.Port())
}
