// Package firm describes the client accounts that the stand models: their
// declarations, workers, callers and batch workloads.
package firm

import (
	"fmt"
	"io/fs"

	"cowslipbend.dev"
	"cowslipbend.dev/checker"
	"cowslipbend.dev/examples"
)

// Firm is one client account.
type Firm struct {
	Name    string
	Pool    cowslipbend.PoolID
	Service cowslipbend.ServiceID
	// Team is the team of the callers of the service.
	Team cowslipbend.TeamID
	// Objective is the latency above which an answer of the service counts as
	// late.
	Objective cowslipbend.Span
	// Usual is the firm's regular batch workload. Noisy is one that is submitted
	// in waves and interferes with the service.
	Usual    Workload
	Noisy    Workload
	Workers  int
	Domains  int
	RackSize int // workers per rack
	Size     cowslipbend.Resources
}

// Get returns the firm of that name, or an error of KindInvalid.
func Get(name string) (Firm, error) {
	switch name {
	case "fraser":
		return Firm{
			Name: name, Pool: "ledger", Service: "settle", Team: "controllers", Objective: 40 * cowslipbend.Millisecond,
			Usual: newWorkload("netting", "closers", 2, 4, 3), Noisy: newWorkload("audit", "auditors", 2, 4, 2),
			Workers: 11, Domains: 3, RackSize: 3,
			Size: cowslipbend.Resources{CPU: 16 * cowslipbend.Core, Mem: 60 * cowslipbend.GB},
		}, nil
	case "easement":
		return Firm{
			Name: name, Pool: "easements", Service: "parcels", Team: "agents", Objective: 60 * cowslipbend.Millisecond,
			Usual: newWorkload("bundle", "lawyers", 4, 8, 4), Noisy: newWorkload("cadastre", "cadastre", 4, 8, 2),
			Workers: 11, Domains: 4, RackSize: 3,
			Size: cowslipbend.Resources{CPU: 32 * cowslipbend.Core, Mem: 125 * cowslipbend.GB},
		}, nil
	}
	return Firm{}, cowslipbend.Invalid("--firm", name+" is not a known firm", "use fraser or easement")
}

// tasksPerJob is the number of tasks in a batch job.
const tasksPerJob = 8

// newWorkload returns a workload whose tasks have the size in cores and GB and
// the length in seconds.
func newWorkload(class cowslipbend.Class, team cowslipbend.TeamID, cores, gigabytes, seconds int64) Workload {
	return Workload{
		Class: class, Team: team, Tasks: tasksPerJob, Length: cowslipbend.Span(seconds) * cowslipbend.Second,
		Size: cowslipbend.Resources{CPU: cowslipbend.Core, Mem: 0}.Times(cores).Plus(cowslipbend.Resources{Mem: cowslipbend.GB}.Times(gigabytes)),
	}
}

// Domain returns the failure domain of the i-th entry or worker.
func (f Firm) Domain(i int) cowslipbend.Domain {
	return cowslipbend.Domain(fmt.Sprintf("d%d", i%f.Domains+1))
}

// RackOf returns the rack of the i-th worker.
func (f Firm) RackOf(i int) cowslipbend.Rack {
	return cowslipbend.Rack(fmt.Sprintf("%s-r%d", f.Domain(i), i/f.Domains/f.RackSize+1))
}

// Worker returns the name of the i-th worker.
func (f Firm) Worker(i int) cowslipbend.WorkerID {
	return cowslipbend.WorkerID(fmt.Sprintf("w%02d", i+1))
}

// Files returns the files with the firm's declarations.
func (f Firm) Files() (checker.Files, error) {
	root, err := fs.Sub(examples.Sets, f.Name)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "embedded examples of %s cannot be opened", f.Name)
	}
	return checker.Read(root)
}
