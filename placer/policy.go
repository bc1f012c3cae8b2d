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
	return nil, cowslipbend.Invalid("policy", name+" is unknown", "use guarded, firstfit or leastloaded")
}

// fits reports whether the host may take the task.
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

// declared is the part of the baselines that learns nothing.
type declared struct{}

// Reserve returns the declared size.
func (declared) Reserve(_ cowslipbend.Ask, size cowslipbend.Resources) cowslipbend.Resources {
	return size
}

// Learn ignores the measurement.
func (declared) Learn(cowslipbend.Sample) {}

// firstFit takes the first host with room.
type firstFit struct{ declared }

// Name returns the policy's name.
func (firstFit) Name() string { return "firstfit" }

// Place returns the first host with room.
func (firstFit) Place(hosts []*cowslipbend.Host, ask cowslipbend.Ask) int {
	for i, h := range hosts {
		if fits(h, &ask) {
			return i
		}
	}
	return -1
}

// leastLoaded takes the host with the lowest dominant share.
type leastLoaded struct{ declared }

// Name returns the policy's name.
func (leastLoaded) Name() string { return "leastloaded" }

// Place returns the host with the lowest dominant share.
func (leastLoaded) Place(hosts []*cowslipbend.Host, ask cowslipbend.Ask) int {
	best, least := -1, 0.0
	for i, h := range hosts {
		if !fits(h, &ask) {
			continue
		}
		if load := h.Reserved.Share(h.Spec.Size); best < 0 || load < least {
			best, least = i, load
		}
	}
	return best
}
