package bounder

import (
	"math"

	"cowslipbend.dev"
)

// Shares are the limits of the listeners of a process.
type Shares struct {
	// Front is for callers, Internal for other processes of the system, Control for the
	// runner.
	Front, Internal, Control, Ready, Metrics Limits
	// Replies is the memory of the replies of peers to the process.
	Replies cowslipbend.Bytes
}

// Divide divides the memory and the descriptors of a process, zero for no limit:
//
//	listener   connections of descriptors   of memory   bodies of memory
//	Front      30 %                         1/5         1/10
//	Internal   30 %                         1/10        1/10
//	Control    4 %                          1/64        1/32
//	Ready      2 %                          1/128       1/128
//	Metrics    2 %                          1/128       1/128
//
// The replies of peers to the process take another 1/16 at most. What is left is for
// the process itself, the connections that it makes, and garbage between collections.
// A connection counts with its header, freeMemory and the kernel's buffers; an internal one
// without them, as other processes of the system send short headers and read what they asked for.
func Divide(memory cowslipbend.Bytes, descriptors int) Shares {
	if memory <= 0 {
		memory = math.MaxInt64
	}
	if descriptors <= 0 {
		descriptors = math.MaxInt32
	}
	sockets := max(descriptors-reservedDescriptors, descriptors/2)
	share := func(name string, percent int, conns, bodies, connMemory, buffer cowslipbend.Bytes) Limits {
		return Limits{
			Name: name, Conns: max(min(sockets*percent/100, int(memory/conns/connMemory)), minConns),
			Bodies: memory / bodies, Buffer: buffer, Header: maxHeader, HeaderLines: maxHeaderLines, BodyTime: bodyTimeout, ReplyTime: replyTimeout, HTTP1: true,
		}
	}
	const callerMemory = idleMemory + headerMemory + freeMemory + kernelBuffers*callerBuffer
	return Shares{
		Front:    share("front", 30, 5, 10, callerMemory, callerBuffer),
		Internal: share("internal", 30, 10, 10, idleMemory+headerMemory, peerBuffer),
		Control:  share("control", 4, 64, 32, callerMemory, callerBuffer),
		Ready:    share("ready", 2, 128, 128, callerMemory, callerBuffer),
		Metrics:  share("metrics", 2, 128, 128, callerMemory, callerBuffer),
		Replies:  memory / 16,
	}
}

// Limits of a listener of which the settings say nothing.
const (
	DefaultConns  = 10000
	DefaultBodies = 512 * cowslipbend.MB
)

// Check returns KindInvalid if a limit of the settings is out of bounds.
func Check(conns int, bodies cowslipbend.Bytes) error {
	var l cowslipbend.Errors
	if conns < 0 {
		l.Add(cowslipbend.Invalid("--conns", "is negative", "give a number of connections, or 0 for no limit"))
	}
	if bodies < 0 {
		l.Add(cowslipbend.Invalid("--bodies", "is negative", "give a size in MB, or 0 for no limit"))
	}
	return l.Err()
}

// Times of a request. No handler takes longer than replyTimeout.
const (
	bodyTimeout  = 30 * cowslipbend.Second
	replyTimeout = 90 * cowslipbend.Second
)

// Memory of a connection, and the descriptors that are not for sockets.
const (
	idleMemory     = 11 * cowslipbend.KB // without a request
	headerMemory   = 24 * cowslipbend.KB // of a header of maxHeader and maxHeaderLines
	maxHeader      = 4 * cowslipbend.KB  // to which net/http adds 4 KB
	maxHeaderLines = 64
	callerBuffer   = 16 * cowslipbend.KB
	peerBuffer     = 128 * cowslipbend.KB
	kernelBuffers  = 4 // the kernel takes twice the size that it is given, in each direction

	reservedDescriptors = 200
	minConns            = 4
)
