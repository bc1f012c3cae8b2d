// Package firm describes the two first users as the stand plays them: their
// declared sets, workers, callers and batch.
package firm

import (
	"fmt"
	"io/fs"

	"cowslipbend.dev"
	"cowslipbend.dev/checker"
	"cowslipbend.dev/examples"
)

// Firm is one user of the system.
type Firm struct {
	Name    string
	Pool    cowslipbend.PoolID
	Service cowslipbend.ServiceID
	// Callers is the team behind the service.
	Callers cowslipbend.TeamID
	// Objective marks an answer of the service as late.
	Objective cowslipbend.Span
	// Usual is the firm's everyday batch, Noisy the one that comes in waves
	// and pairs badly with the service.
	Usual   Kind
	Noisy   Kind
	Workers int
	Domains int
	Rack    int // workers in a rack
	Size    cowslipbend.Resources
}

// Get returns a firm by its name, or KindInvalid.
func Get(name string) (Firm, error) {
	switch name {
	case "fraser":
		return Firm{
			Name: name, Pool: "ledger", Service: "settle", Callers: "controllers", Objective: 40 * cowslipbend.Millisecond,
			Usual: kind("netting", "closers", 2, 4, 3), Noisy: kind("audit", "auditors", 2, 4, 2),
			Workers: 11, Domains: 3, Rack: 3,
			Size: cowslipbend.Resources{CPU: 16 * cowslipbend.Core, Mem: 60 * cowslipbend.GB},
		}, nil
	case "easement":
		return Firm{
			Name: name, Pool: "easements", Service: "parcels", Callers: "agents", Objective: 60 * cowslipbend.Millisecond,
			Usual: kind("bundle", "lawyers", 4, 8, 4), Noisy: kind("cadastre", "cadastre", 4, 8, 2),
			Workers: 11, Domains: 4, Rack: 3,
			Size: cowslipbend.Resources{CPU: 32 * cowslipbend.Core, Mem: 125 * cowslipbend.GB},
		}, nil
	}
	return Firm{}, cowslipbend.Invalid("--firm", name+" is unknown", "use fraser or easement")
}

// tasksInJob is the count of tasks in a usual job.
const tasksInJob = 8

// kind returns a kind of batch whose tasks have the size in cores and GB and
// the length in seconds.
func kind(class cowslipbend.Class, team cowslipbend.TeamID, cores, gigabytes, seconds int64) Kind {
	return Kind{
		Class: class, Team: team, Tasks: tasksInJob, Length: cowslipbend.Span(seconds) * cowslipbend.Second,
		Size: cowslipbend.Resources{CPU: cowslipbend.Core, Mem: 0}.Times(cores).Plus(cowslipbend.Resources{Mem: cowslipbend.GB}.Times(gigabytes)),
	}
}

// Domain returns the failure domain of the i-th host.
func (f Firm) Domain(i int) cowslipbend.Domain {
	return cowslipbend.Domain(fmt.Sprintf("d%d", i%f.Domains+1))
}

// RackOf returns the rack of the i-th worker.
func (f Firm) RackOf(i int) cowslipbend.Rack {
	return cowslipbend.Rack(fmt.Sprintf("%s-r%d", f.Domain(i), i/f.Domains/f.Rack+1))
}

// Worker returns the name of the i-th worker.
func (f Firm) Worker(i int) cowslipbend.WorkerID {
	return cowslipbend.WorkerID(fmt.Sprintf("w%02d", i+1))
}

// Files returns the firm's declarations.
func (f Firm) Files() (checker.Files, error) {
	root, err := fs.Sub(examples.Sets, f.Name)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "examples of %s are missing", f.Name)
	}
	return checker.Read(root)
}
