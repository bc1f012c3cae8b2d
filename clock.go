package cowslipbend

import (
	"bytes"
	"strconv"
	"time"
)

// Time is a moment in milliseconds. Unless a comment says otherwise it is read
// from the monotonic clock of one host, and must not be compared with a moment
// of another host.
type Time int64

// Span is a duration in milliseconds.
type Span int64

// Common spans.
const (
	Millisecond Span = 1
	Second      Span = 1000
	Minute           = 60 * Second
	Hour             = 60 * Minute
	Day              = 24 * Hour
)

// Add returns the moment a span later.
func (t Time) Add(s Span) Time { return t + Time(s) }

// Sub returns the span from u to t.
func (t Time) Sub(u Time) Span { return Span(t - u) }

// Duration converts the span to a time.Duration.
func (s Span) Duration() time.Duration { return time.Duration(s) * time.Millisecond }

// String returns the span as time.Duration prints it.
func (s Span) String() string { return s.Duration().String() }

// MarshalText writes the span as "1.5s".
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalJSON reads a string as UnmarshalText does. A bare number is
// refused, as it has no unit.
func (s *Span) UnmarshalJSON(b []byte) error {
	return s.UnmarshalText(bytes.Trim(b, `"`))
}

// UnmarshalText reads "1.5s" or "200ms". It returns a KindInvalid error for
// anything else.
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil || (d == 0 && string(b) == "0") {
		return Invalid("span", strconv.Quote(string(b))+" is not a duration", "write it as 200ms, 3s or 1h")
	}
	*s = Span(d.Milliseconds())
	return nil
}

// SpanOf converts a duration, rounding down to milliseconds.
func SpanOf(d time.Duration) Span { return Span(d.Milliseconds()) }

// Clock reads the time. Implementations are in package timer.
type Clock interface {
	// Now returns the host's monotonic time, equal for all processes of a host.
	Now() Time
	// Wall returns milliseconds since the Unix epoch. Wall clocks may jump, so
	// it serves only reports, due times of flows and the age of stored rows.
	Wall() Time
	// After returns a channel that receives once the span has passed.
	After(s Span) <-chan Time
}
