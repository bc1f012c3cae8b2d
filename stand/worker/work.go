package worker

import (
	"encoding/json"

	"cowslipbend.dev"
)

// Work is the JSON that the simulated worker reads from the work of a job. It
// holds the true resource use, of which the job's declared size is an estimate.
type Work struct {
	// CPU and Mem are what a task uses; Mem is reached at half its progress.
	CPU cowslipbend.Millicores `json:"cpu"`
	Mem cowslipbend.Bytes      `json:"mem"`
	// TotalCPU is the processor time after which a task finishes, in
	// core-milliseconds.
	TotalCPU cowslipbend.CPUTime `json:"total"`
	// AlwaysFails makes every attempt fail at its first progress.
	AlwaysFails bool `json:"fail,omitempty"`
}

// String returns the work as JSON, as a job carries it.
func (w Work) String() string {
	data, err := json.Marshal(w)
	if err != nil {
		panic("worker: work does not encode: " + err.Error())
	}
	return string(data)
}

func parseWork(s cowslipbend.Start) Work {
	w := Work{CPU: s.Size.CPU, Mem: s.Size.Mem, TotalCPU: defaultTotalCPU}
	if s.Work != "" {
		_ = json.Unmarshal([]byte(s.Work), &w) // Work that is not JSON uses exactly its declared size.
	}
	return w
}

// defaultTotalCPU is the processor time of a task whose job states none, in
// core-milliseconds.
const defaultTotalCPU cowslipbend.CPUTime = 1000
