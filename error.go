package cowslipbend

import (
	"errors"
	"fmt"
	"strings"
)

// Kind classifies errors by how the receiver can react to them.
type Kind string

// The kinds of errors.
const (
	// KindInvalid marks input that can never be accepted as it is.
	KindInvalid Kind = "invalid"
	// KindConflict marks a change that raced with another.
	KindConflict Kind = "conflict"
	// KindMissing marks a reference to something that does not exist.
	KindMissing Kind = "missing"
	// KindDenied marks a call without a valid secret.
	KindDenied Kind = "denied"
	// KindLimited marks a refusal by a limit or quota.
	KindLimited Kind = "limited"
	// KindBusy marks a refusal for lack of free capacity.
	KindBusy Kind = "busy"
	// KindLate marks a deadline that has passed.
	KindLate Kind = "late"
	// KindDown marks an unavailable peer; the operation took no effect.
	KindDown Kind = "down"
	// KindUnknown marks an operation that may or may not have taken effect.
	KindUnknown Kind = "unknown"
	// KindStale marks a message of an earlier epoch, attempt or incarnation.
	KindStale Kind = "stale"
	// KindLeaving marks a process that is shutting down.
	KindLeaving Kind = "leaving"
	// KindBroken marks a defect or a damaged record.
	KindBroken Kind = "broken"
)

// Error is the only error type that crosses package and process boundaries.
// What and Remedy are phrases without a final stop.
type Error struct {
	Kind   Kind   `json:"kind"`
	Path   string `json:"path,omitempty"`
	What   string `json:"what"`
	Remedy string `json:"remedy"`
	// After is the recommended delay before a retry; zero gives no advice.
	After Span  `json:"after,omitempty"`
	Cause error `json:"-"`
}

// Error returns path, fault, cause and remedy in one line.
func (e *Error) Error() string {
	var b strings.Builder
	if e.Path != "" {
		b.WriteString(e.Path + ": ")
	}
	b.WriteString(e.What)
	if e.Cause != nil {
		b.WriteString(": " + e.Cause.Error())
	}
	if e.Remedy != "" {
		b.WriteString(" (" + e.Remedy + ")")
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Fail returns an error of the kind.
func Fail(k Kind, what, remedy string) *Error {
	return &Error{Kind: k, What: what, Remedy: remedy}
}

// Failf returns an error of the kind around a cause.
func Failf(k Kind, cause error, remedy, format string, args ...any) *Error {
	return &Error{Kind: k, What: fmt.Sprintf(format, args...), Remedy: remedy, Cause: cause}
}

// Invalid returns a KindInvalid error for the value at the path.
func Invalid(path, what, remedy string) *Error {
	return &Error{Kind: KindInvalid, Path: path, What: what, Remedy: remedy}
}

// KindOf returns the kind of the first Error in the chain, KindBroken for an
// error without one, and the empty kind for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return KindBroken
}

// AsError returns the first Error in the chain, or wraps err as KindBroken.
func AsError(err error) *Error {
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return &Error{Kind: KindBroken, What: err.Error(), Remedy: "report this with the log lines around it"}
}

// Errors collects faults so that all of them are reported at once.
type Errors []*Error

// Add appends the faults of err, flattening lists; nil adds nothing.
func (l *Errors) Add(err error) {
	if err == nil {
		return
	}
	if list, ok := errors.AsType[Errors](err); ok {
		*l = append(*l, list...)
		return
	}
	*l = append(*l, AsError(err))
}

// Err returns the list as an error, or nil if it is empty.
func (l Errors) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns one line per fault.
func (l Errors) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults.
func (l Errors) Unwrap() []error {
	errs := make([]error, len(l))
	for i, e := range l {
		errs[i] = e
	}
	return errs
}
