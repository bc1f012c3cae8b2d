package cowslipbend

import "strconv"

// Check returns all faults of the report as KindInvalid errors.
func (r *HostReport) Check() error {
	var l Errors
	if r.Agent == "" || r.URL == "" {
		l.Add(Invalid("report", "names no agent or URL", "check the agent's version"))
	}
	if r.Host != nil {
		l.Add(r.Host.check())
	}
	if r.Loss != nil {
		l.Add(r.Loss.check())
	}
	for i := range r.Running {
		l.Add(r.Running[i].check("running." + strconv.Itoa(i)))
	}
	for i := range r.Ends {
		l.Add(r.Ends[i].check("ends." + strconv.Itoa(i)))
		if r.Ends[i].Number < 1 {
			l.Add(Invalid("ends."+strconv.Itoa(i), "has no number", "check the agent's version"))
		}
	}
	return l.Err()
}

func (h *HostSpec) check() error {
	if h.Life == "" || h.Size.CPU < 0 || h.Size.Mem < 0 || h.Size.Accel < 0 {
		return Invalid("host", "has no incarnation or a negative size", "check the agent's version")
	}
	return nil
}

func (r *RunRef) check(path string) error {
	if t := r.Task; t.Job == "" || t.Round < 0 || t.Step < 0 || t.Index < 0 || r.Run < 1 {
		return Invalid(path, "names no run of a task", "check the agent's version")
	}
	return nil
}
