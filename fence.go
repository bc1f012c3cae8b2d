package cowslipbend

// Fence is the fencing token of a call to a runner, which refuses calls with a lower one than
// it has received. It grows with the epoch of the owner, within an epoch with the processes of
// the agent, and for one process with the incarnations of the runner. As a call names a runner
// and not its incarnation, this is what tells an incarnation which calls are meant for it.
type Fence int64

// The bits of a Fence. With less than 2^23 epochs it stays below 2^53, up to which all writers
// of JSON represent whole numbers.
const (
	fenceLifeBits  = 16
	fenceAgentBits = 14
)

// MaxProcess is the highest number of a process for which the tokens of an epoch are below those
// of the next one.
const MaxProcess = 1<<fenceAgentBits - 1

// NewFence returns the token of calls to an incarnation of a runner. The process of the agent
// is numbered within the epoch, and the incarnation within the process.
func NewFence(e Epoch, process, life int64) Fence {
	return Fence((int64(e)<<fenceAgentBits+process)<<fenceLifeBits + life)
}
