package timer

import (
	"time"

	"golang.org/x/sys/unix"

	"cowslipbend.dev"
)

// Host is the clock of the host on which the process runs. Its monotonic time is
// CLOCK_BOOTTIME, which all processes of the host share and which includes the
// time that the host is suspended, so that leases lapse during a suspension.
type Host struct{}

// Now returns the time since the host booted.
func (Host) Now() cowslipbend.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("timer: cannot read CLOCK_BOOTTIME, which Linux has since 2.6.39: " + err.Error())
	}
	return cowslipbend.Time(ts.Nano() / int64(time.Millisecond))
}

// Wall returns the milliseconds since the Unix epoch.
func (Host) Wall() cowslipbend.Time { return cowslipbend.Time(time.Now().UnixMilli()) }

// After returns a channel that receives once the span has passed.
func (h Host) After(s cowslipbend.Span) <-chan cowslipbend.Time {
	ch := make(chan cowslipbend.Time, 1)
	time.AfterFunc(s.Duration(), func() { ch <- h.Now() })
	return ch
}
