package shedder

import (
	"math"

	"cowslipbend.dev"
	"cowslipbend.dev/predictor"
)

// Summary is the owner's summary of what waits. It mentions only hosts for which flows
// with a bound wait.
type Summary struct {
	// Age is the time since it was computed, when it was sent.
	Age   cowslipbend.Span `json:"age,omitempty"`
	Pools []Pool           `json:"pools,omitempty"`
	// Queues and Lengths describe the queues with the most waiting work.
	Queues  []Queue                 `json:"queues,omitempty"`
	Lengths []predictor.ClassLength `json:"lengths,omitempty"`
}

// Bounds of a summary, which is sent to each entry four times a second.
const (
	MaxQueues  = 16
	MaxLengths = 32
)

// Pool sums up the hosts of a service and what waits for them.
type Pool struct {
	Service cowslipbend.ServiceID `json:"service"`
	// Capacity is the number of processors that are not reserved for serving runs,
	// and Free the part that is not reserved at all. FillingCapacity and Idle are the
	// same for filling runs, which use what others leave idle.
	Capacity        cowslipbend.Millicores `json:"capacity"`
	Free            cowslipbend.Millicores `json:"free"`
	FillingCapacity cowslipbend.Millicores `json:"filling"`
	Idle            cowslipbend.Millicores `json:"idle"`
	Levels          []Level                `json:"levels,omitempty"`
}

// Level is the waiting work of a queue, or of all smaller ones of a priority together,
// in core seconds. Only tasks that could run count.
type Level struct {
	Priority int                 `json:"priority"`
	Queue    cowslipbend.QueueID `json:"queue,omitempty"`
	// Fills is set for the work of filling tasks, for which no others wait.
	Fills bool `json:"fills,omitempty"`
	// Timely is the work of flows that can meet their target, by bucket of the value
	// for each core second, and Large the part of flows above the mean work. Late is
	// that of flows that miss their target and may be useful.
	Timely map[int]float64 `json:"timely,omitempty"`
	Large  map[int]float64 `json:"large,omitempty"`
	Late   float64         `json:"late,omitempty"`
}

// Queue describes the flows of a queue.
type Queue struct {
	ID cowslipbend.QueueID `json:"id"`
	// MeanWork is the mean work of a flow in core seconds.
	MeanWork float64 `json:"mean"`
}

// Bucket returns the bucket of a value for each core second: each has twice the value
// of the one below it.
func Bucket(density float64) int {
	return int(math.Floor(math.Log2(min(max(density, 1e-9), 1e9))))
}

// Total returns the work of the level.
func (l *Level) Total() float64 {
	total := l.Late
	for _, work := range l.Timely {
		total += work
	}
	return total
}

func (s *Summary) pool(id cowslipbend.ServiceID) *Pool {
	for i := range s.Pools {
		if s.Pools[i].Service == id {
			return &s.Pools[i]
		}
	}
	return nil
}

func (s *Summary) queue(id cowslipbend.QueueID) *Queue {
	for i := range s.Queues {
		if s.Queues[i].ID == id {
			return &s.Queues[i]
		}
	}
	return nil
}

func (s *Summary) length(key predictor.Class) *predictor.ClassLength {
	for i := range s.Lengths {
		if s.Lengths[i].Class == key {
			return &s.Lengths[i]
		}
	}
	return nil
}

// newcomer is a new flow for which the work ahead is asked.
type newcomer struct {
	queue    cowslipbend.QueueID
	priority int
	fills    bool
	// large is set if its work exceeds the mean of its queue.
	large   bool
	density float64
}

// ahead returns the work that goes before a new flow for certain: that of higher
// priorities, and, until it is late itself, that of timely flows of its own queue in
// higher buckets. Other queues of its priority may have to wait for it, and so may all
// but the large ones if the flow is large itself.
func (p *Pool) ahead(f newcomer) (higher, own float64) {
	bucket := Bucket(f.density)
	for i := range p.Levels {
		l := &p.Levels[i]
		switch {
		case l.Fills && !f.fills:
		case l.Priority < f.priority:
			higher += l.Total()
		case l.Priority == f.priority && l.Queue == f.queue:
			buckets := l.Timely
			if f.large {
				buckets = l.Large
			}
			for b, work := range buckets {
				if b > bucket {
					own += work
				}
			}
		}
	}
	return higher, own
}

// Add adds the work of a flow with the value for each core second. It is timely if
// the flow can meet its target, and large if its work exceeds the mean of its queue.
func (l *Level) Add(work, density float64, timely, large bool) {
	if !timely {
		l.Late += work
		return
	}
	if l.Timely == nil {
		l.Timely, l.Large = map[int]float64{}, map[int]float64{}
	}
	l.Timely[Bucket(density)] += work
	if large {
		l.Large[Bucket(density)] += work
	}
}

// WorkByPriority returns the work that waits for the hosts, in whole core seconds.
func (p *Pool) WorkByPriority() map[int]int {
	sums := map[int]float64{}
	for i := range p.Levels {
		sums[p.Levels[i].Priority] += p.Levels[i].Total()
	}
	rounded := map[int]int{}
	for priority, work := range sums {
		rounded[priority] = int(math.Round(work))
	}
	return rounded
}

// WorkByPriority returns the waiting work in whole core seconds.
func (s *Summary) WorkByPriority() map[int]int {
	sums := map[int]int{}
	for i := range s.Pools {
		for priority, work := range s.Pools[i].WorkByPriority() {
			sums[priority] += work
		}
	}
	return sums
}
