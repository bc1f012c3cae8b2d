package cowslipbend

import (
	"crypto/rand"
	"encoding/base32"
	"fmt"
	"strconv"
)

// Identifiers. Each is unique within the scope given in its comment.
type (
	// JobID names a job within its pool. The caller chooses it.
	JobID string
	// TaskID names a task within its pool, as "job/index".
	TaskID string
	// PoolID names a pool within a declared set.
	PoolID string
	// TeamID names a team within a declared set.
	TeamID string
	// ServiceID names a service within a declared set.
	ServiceID string
	// WorkerID names a worker of the platform.
	WorkerID string
	// EndpointID names one run of an endpoint; a restart draws a new one.
	EndpointID string
	// EntryID names an entry; it survives restarts.
	EntryID string
	// RequestID names one accepted request.
	RequestID string
	// Domain names a failure domain.
	Domain string
	// Rack names a rack within a failure domain.
	Rack string
	// Class names a group of tasks with similar resource use and interference.
	Class string
	// Incarnation names one run of a process, from its start to its end.
	Incarnation string
	// Digest is the hexadecimal SHA-256 of an object's content.
	Digest string
)

// Sequence numbers. They only grow.
type (
	// Attempt numbers the attempts of a task from 1.
	Attempt int64
	// Epoch numbers the successive owners of a pool from 1.
	Epoch int64
	// Seq numbers the committed batches of a pool's journal from 1.
	Seq int64
	// Revision numbers the published configurations from 1.
	Revision int64
)

// MakeTaskID returns the identifier of the task with the index in the job.
func MakeTaskID(job JobID, index int) TaskID {
	return TaskID(string(job) + "/" + strconv.Itoa(index))
}

// idBytes is the number of random bytes in a generated identifier.
const idBytes = 10

// DrawID returns a random identifier of 16 characters. Like crypto/rand it
// crashes the program if the system provides no randomness.
func DrawID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return base32.HexEncoding.WithPadding(base32.NoPadding).EncodeToString(b[:])
}

// maxName is the longest name accepted, in bytes.
const maxName = 128

// CheckName returns a KindInvalid error unless the name has 1 to 128 letters,
// digits, dots, dashes, underscores or slashes. The path locates the name in
// the input.
func CheckName(path, name string) error {
	if name == "" {
		return Invalid(path, "is empty", "give it a name")
	}
	if len(name) > maxName {
		return Invalid(path, "is longer than 128 bytes", "shorten it")
	}
	for _, r := range name {
		if !nameRune(r) {
			return Invalid(path, fmt.Sprintf("%q holds %q", name, r), "use letters, digits and . - _ /")
		}
	}
	return nil
}

func nameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '.' || r == '-' || r == '_' || r == '/'
}
