package worker

import (
	"encoding/json"

	"cowslipbend.dev"
)

// Work is what the stand-in reads from the work of a job: the truth that the
// declared sizes only estimate.
type Work struct {
	// CPU and Mem are what the task really uses; Mem is reached half-way.
	CPU cowslipbend.Millicores `json:"cpu"`
	Mem cowslipbend.Bytes      `json:"mem"`
	// Total is the processor time to its end, in core-milliseconds.
	Total cowslipbend.CPUTime `json:"total"`
	// Fail makes every attempt fail.
	Fail bool `json:"fail,omitempty"`
}

// String returns the work as a job carries it.
func (w Work) String() string {
	data, err := json.Marshal(w)
	if err != nil {
		panic("worker: work does not encode: " + err.Error())
	}
	return string(data)
}

func parseWork(s cowslipbend.Start) Work {
	w := Work{CPU: s.Size.CPU, Mem: s.Size.Mem, Total: defaultTotal}
	if s.Work != "" {
		_ = json.Unmarshal([]byte(s.Work), &w) // The truth of an unreadable work is its declared size.
	}
	return w
}

// defaultTotal is the processor time of a task whose job does not tell.
const defaultTotal cowslipbend.CPUTime = 1000
