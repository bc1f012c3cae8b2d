package cowslipbend

// Ask is a request to place a task on a worker.
type Ask struct {
	Task    TaskID
	Class   Class
	Team    TeamID
	Urgency Urgency
	Service ServiceID
	// Size is the amount to reserve.
	Size Resources
	// Avoid lists workers on which the task failed.
	Avoid []WorkerID
	// Holder is the worker that keeps capacity free for the task, if any, and
	// Held the amount kept free.
	Holder WorkerID
	Held   Resources
}

// ordinary reports whether the task must leave the headroom for urgent work
// free.
func (a *Ask) ordinary() bool { return a.Service == "" && a.Urgency != Urgent }

// Load sums up the tasks of one class on a worker.
type Load struct {
	Class Class
	// Tasks is the number of tasks. CPU is the sum of the processors that they
	// use or, until they are measured, have reserved.
	Tasks int
	CPU   Millicores
}

// Host is a worker as a placement policy sees it.
type Host struct {
	Spec WorkerSpec
	// Reserved is the sum of the reservations of the pool's tasks.
	Reserved Resources
	// ServiceReserved is the part of Reserved that replicas of services hold.
	ServiceReserved Resources
	// OrphanUsage is what orphans, which are tasks without a reservation, use
	// until they are stopped.
	OrphanUsage Resources
	// Excess is the measured use of tasks beyond their reservations.
	Excess Resources
	// Spare is the headroom that ordinary batch work leaves free, Held the
	// amount kept free for queued tasks.
	Spare Resources
	Held  Resources
	// Usable is false if the worker takes no new tasks.
	Usable bool
	// Mix lists the running tasks by class. Services counts the replicas by
	// service.
	Mix      []Load
	Services map[ServiceID]int
}

// Free returns the capacity that is neither reserved nor used by orphans.
func (h *Host) Free() Resources { return h.Spec.Size.Minus(h.Reserved).Minus(h.OrphanUsage) }

// Room returns how much the task may reserve on the worker. The headroom is
// waived for a task that would not leave it free even if it ran alone beside
// the services.
func (h *Host) Room(a *Ask) Resources {
	room := h.Free()
	if a.Service == "" {
		room = room.Minus(h.Held)
		if a.Holder == h.Spec.ID {
			room = room.Plus(a.Held)
		}
	}
	if a.ordinary() && a.Size.Fits(h.Spec.Size.Minus(h.ServiceReserved).Minus(h.Spare)) {
		room = room.Minus(h.Spare)
	}
	return room
}

// Change adds tasks and processors of a class to Mix. Negative amounts remove
// them.
func (h *Host) Change(class Class, tasks int, cpu Millicores) {
	for i := range h.Mix {
		if h.Mix[i].Class != class {
			continue
		}
		h.Mix[i].Tasks += tasks
		h.Mix[i].CPU += cpu
		if h.Mix[i].Tasks == 0 {
			h.Mix[i] = h.Mix[len(h.Mix)-1]
			h.Mix = h.Mix[:len(h.Mix)-1]
		}
		return
	}
	h.Mix = append(h.Mix, Load{Class: class, Tasks: tasks, CPU: cpu})
}

// Sample is a measurement of a task, with the tasks that ran beside it when it
// was taken. Samples arrive some time after that.
type Sample struct {
	Task     TaskID
	Class    Class
	Service  ServiceID
	Declared Resources
	Reserved Resources
	Usage    Resources
	// Percent is the throttle in force. Below 100, Usage does not show what the
	// task needs.
	Percent int
	// Tail is the 99th percentile of a service's response times in
	// microseconds, Served the number of responses that it covers.
	Tail   int64
	Served int64
	// Neighbours lists the other tasks of the worker by class.
	Neighbours []Load
	At         Time
}

// Placement is a placement policy: it chooses workers for tasks and learns from
// measurements. It is deterministic and reads no clock.
type Placement interface {
	// Name returns the name that selects the policy in a declaration.
	Name() string
	// Reserve returns the amount to reserve for a task of the declared size. For
	// a service it is no less than declared.
	Reserve(ask Ask, declared Resources) Resources
	// Place returns the index of the chosen host, or -1 if none has room.
	Place(hosts []*Host, ask Ask) int
	// Learn updates the policy with a measurement.
	Learn(s Sample)
}
