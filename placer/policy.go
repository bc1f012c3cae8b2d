package placer

import "cowslipbend.dev"

// New returns the policy with the name, or KindInvalid.
func New(name string, weights cowslipbend.Weights) (cowslipbend.Placement, error) {
	switch name {
	case "", "guarded":
		return NewGuarded(weights), nil
	case "firstfit":
		return firstFit{}, nil
	case "leastloaded":
		return leastLoaded{}, nil
	}
	return nil, cowslipbend.Invalid("policy", name+" is not a placement policy", "use guarded, firstfit or leastloaded")
}

// fits reports whether the host takes new tasks, has room for the task and is
// not to be avoided.
func fits(h *cowslipbend.Host, ask *cowslipbend.Ask) bool {
	if !h.Usable || !ask.Size.Fits(h.Room(ask)) {
		return false
	}
	for _, w := range ask.Avoid {
		if w == h.Spec.ID {
			return false
		}
	}
	return true
}

// declaredSizes implements the methods by which the baselines reserve declared
// sizes and ignore measurements.
type declaredSizes struct{}

// Reserve returns the declared size.
func (declaredSizes) Reserve(_ cowslipbend.Ask, size cowslipbend.Resources) cowslipbend.Resources {
	return size
}

// Learn ignores the measurement.
func (declaredSizes) Learn(cowslipbend.Sample) {}

// firstFit is the policy that takes the first host with room.
type firstFit struct{ declaredSizes }

// Name returns the name of the policy.
func (firstFit) Name() string { return "firstfit" }

// Place returns the index of the first host with room.
func (firstFit) Place(hosts []*cowslipbend.Host, ask cowslipbend.Ask) int {
	for i, h := range hosts {
		if fits(h, &ask) {
			return i
		}
	}
	return -1
}

// leastLoaded is the policy that takes the host with the lowest dominant share.
type leastLoaded struct{ declaredSizes }

// Name returns the name of the policy.
func (leastLoaded) Name() string { return "leastloaded" }

// Place returns the index of the host with room whose reservations have the
// lowest dominant share.
func (leastLoaded) Place(hosts []*cowslipbend.Host, ask cowslipbend.Ask) int {
	best, lowest := -1, 0.0
	for i, h := range hosts {
		if !fits(h, &ask) {
			continue
		}
		if load := h.Reserved.Share(h.Spec.Size); best < 0 || load < lowest {
			best, lowest = i, load
		}
	}
	return best
}
