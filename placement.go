package cowslipbend

// Ask is a task that wants a worker.
type Ask struct {
	Task    TaskID
	Class   Class
	Team    TeamID
	Urgency Urgency
	Service ServiceID
	// Size is what to reserve.
	Size Resources
	// Avoid lists workers on which the task failed.
	Avoid []WorkerID
	// Holder is the worker on which room is held for the task, if any, and
	// Held that room.
	Holder WorkerID
	Held   Resources
}

// ordinary reports whether the headroom for urgent work is closed to the task.
func (a *Ask) ordinary() bool { return a.Service == "" && a.Urgency != Urgent }

// Load is what the tasks of one class do on a worker.
type Load struct {
	Class Class
	// Tasks counts the tasks, CPU sums the processors they use or, before a
	// measurement, have reserved.
	Tasks int
	CPU   Millicores
}

// Host is a worker as a placement policy sees it.
type Host struct {
	Spec WorkerSpec
	// Reserved is the sum of the reservations of the pool's tasks.
	Reserved Resources
	// Fixed is the part of Reserved that replicas of services hold.
	Fixed Resources
	// Strays is what runs there without a reservation, until it is stopped.
	Strays Resources
	// Excess is by how much tasks were measured beyond their reservations.
	Excess Resources
	// Spare is the headroom that ordinary batch leaves free, and Held what is
	// kept for tasks that wait for room.
	Spare Resources
	Held  Resources
	// Usable is false for workers that take no new tasks.
	Usable bool
	// Mix lists what runs by class, Services counts the replicas by service.
	Mix      []Load
	Services map[ServiceID]int
}

// Free returns what is not reserved.
func (h *Host) Free() Resources { return h.Spec.Size.Minus(h.Reserved).Minus(h.Strays) }

// Room returns how much the asking task may reserve here. Headroom is waived
// for a task that is too large ever to leave it free beside the services.
func (h *Host) Room(a *Ask) Resources {
	room := h.Free()
	if a.Service == "" {
		room = room.Minus(h.Held)
		if a.Holder == h.Spec.ID {
			room = room.Plus(a.Held)
		}
	}
	if a.ordinary() && a.Size.Fits(h.Spec.Size.Minus(h.Fixed).Minus(h.Spare)) {
		room = room.Minus(h.Spare)
	}
	return room
}

// Change adds tasks and processors of a class to the mix; negative amounts
// remove them.
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

// Sample is one lagged measurement, joined with what ran beside the task when
// it was measured.
type Sample struct {
	Task     TaskID
	Class    Class
	Service  ServiceID
	Declared Resources
	Reserved Resources
	Usage    Resources
	// Percent is the throttle in force; usage below 100 tells little.
	Percent int
	// Tail is the 99th percentile of a service's answers in microseconds.
	Tail   int64
	Served int64
	// Beside lists the other tasks of the worker by class.
	Beside []Load
	At     Time
}

// Placement chooses workers for tasks and learns from measurements. It is a
// function of what it was told; it neither reads clocks nor draws randomness.
type Placement interface {
	// Name is the name by which declarations choose the policy.
	Name() string
	// Reserve returns what to reserve for a task that declares the size. A
	// service gets no less than it declares.
	Reserve(ask Ask, declared Resources) Resources
	// Place returns the index of the chosen host, or -1 if none has room.
	Place(hosts []*Host, ask Ask) int
	// Learn takes a measurement.
	Learn(s Sample)
}
