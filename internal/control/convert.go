package control

import "cowslipbend.dev"

// FromResources returns the message for the resources.
func FromResources(r cowslipbend.Resources) *Size {
	return &Size{Cpu: int64(r.CPU), Mem: int64(r.Mem), Accel: int64(r.Accel)}
}

// Resources returns the resources of the message, which are zero for nil.
func (x *Size) Resources() cowslipbend.Resources {
	return cowslipbend.Resources{
		CPU:   cowslipbend.Millicores(x.GetCpu()),
		Mem:   cowslipbend.Bytes(x.GetMem()),
		Accel: cowslipbend.Accels(x.GetAccel()),
	}
}

// FromStart returns the message for a start, without its epoch.
func FromStart(s cowslipbend.Start) *Task {
	return &Task{
		Task: string(s.Task), Attempt: int64(s.Attempt), Class: string(s.Class), Team: string(s.Team),
		Size: FromResources(s.Size), Service: string(s.Service), Work: s.Work, From: s.From,
	}
}

// Start returns the start of the message, with the epoch.
func (x *Task) Start(epoch cowslipbend.Epoch) cowslipbend.Start {
	return cowslipbend.Start{
		Task: cowslipbend.TaskID(x.GetTask()), Attempt: cowslipbend.Attempt(x.GetAttempt()), Epoch: epoch,
		Class: cowslipbend.Class(x.GetClass()), Team: cowslipbend.TeamID(x.GetTeam()), Size: x.GetSize().Resources(),
		Service: cowslipbend.ServiceID(x.GetService()), Work: x.GetWork(), From: x.GetFrom(),
	}
}

// Check returns all faults of a heartbeat as KindInvalid errors.
func (x *BeatRequest) Check() error {
	var l cowslipbend.Errors
	l.Add(cowslipbend.CheckName("worker", x.GetWorker()))
	l.Add(cowslipbend.CheckName("life", x.GetLife()))
	l.Add(cowslipbend.CheckName("pool", x.GetPool()))
	l.Add(cowslipbend.CheckName("domain", x.GetDomain()))
	if x.GetUrl() == "" {
		l.Add(cowslipbend.Invalid("url", "is empty", "send the agent's base URL"))
	}
	return l.Err()
}

// Check returns all faults of a start as KindInvalid errors.
func (x *Task) Check() error {
	var l cowslipbend.Errors
	l.Add(cowslipbend.CheckName("task", x.GetTask()))
	l.Add(cowslipbend.CheckName("class", x.GetClass()))
	l.Add(x.GetSize().Resources().Check("size"))
	if x.GetAttempt() < 1 {
		l.Add(cowslipbend.Invalid("attempt", "is below 1", "number attempts from 1"))
	}
	return l.Err()
}
