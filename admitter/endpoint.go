package admitter

import (
	"fmt"
	"net/url"
	"sort"

	"cowslipbend.dev"
)

// Announcement is what an endpoint tells about itself.
type Announcement struct {
	ID      cowslipbend.EndpointID `json:"id"`
	Service cowslipbend.ServiceID  `json:"service"`
	URL     string                 `json:"url"`
	Slots   int                    `json:"slots"`
	Conns   int                    `json:"conns"`
}

// Bounds of an announcement.
const (
	maxSlots = 4096
	maxConns = 65536
)

// Check returns all faults as KindInvalid errors.
func (a *Announcement) Check() error {
	var l cowslipbend.Errors
	l.Add(cowslipbend.CheckName("id", string(a.ID)))
	l.Add(cowslipbend.CheckName("service", string(a.Service)))
	u, err := url.Parse(a.URL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		l.Add(cowslipbend.Invalid("url", fmt.Sprintf("%q is no endpoint", a.URL), "give http://IP:PORT"))
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		l.Add(cowslipbend.Invalid("slots", fmt.Sprintf("%d is out of bounds", a.Slots), "give 1 to 4096"))
	}
	if a.Conns < 1 || a.Conns > maxConns {
		l.Add(cowslipbend.Invalid("conns", fmt.Sprintf("%d is out of bounds", a.Conns), "give 1 to 65536"))
	}
	return l.Err()
}

// endpoint is one announced endpoint with what was measured of it.
type endpoint struct {
	Announcement
	seen     cowslipbend.Time
	leaving  bool
	silent   bool
	inflight int              // slots taken
	open     int              // connections taken; at least inflight
	latency  int64            // microseconds, smoothed
	longest  cowslipbend.Span // of recent answers
	errors   int              // per mille, smoothed
}

// fits reports whether one more request can run. A watch takes a connection
// but no slot, any other request takes both.
func (e *endpoint) fits(watch bool) bool {
	return !e.leaving && !e.silent && e.open < e.Conns && (watch || e.inflight < e.Slots)
}

func (e *endpoint) take(watch bool) {
	e.open++
	if !watch {
		e.inflight++
	}
}

func (e *endpoint) free(watch bool) {
	e.open--
	if !watch {
		e.inflight--
	}
}

// room is what the endpoint has left of what the request needs.
func (e *endpoint) room(watch bool) int {
	if watch {
		return e.Conns - e.open
	}
	return e.Slots - e.inflight
}

// smoothing is the divisor of the moving averages.
const smoothing = 16

// fading is the divisor by which the longest answer fades with each answer.
const fading = 256

// perMille is the whole in counts of thousandths.
const perMille = 1000

// measure takes the outcome of one request into the averages.
func (e *endpoint) measure(micros int64, failed bool) {
	sample := 0
	if failed {
		sample = perMille
	}
	e.errors += (sample - e.errors) / smoothing
	e.latency += (micros - e.latency) / smoothing
}

// last takes how long an answer took.
func (e *endpoint) last(took cowslipbend.Span) { e.longest = max(took, e.longest-e.longest/fading) }

// maxEndpoints bounds the endpoints of one agent.
const maxEndpoints = 1024

// Announce adds an endpoint or refreshes it. It returns KindInvalid for a
// faulty announcement and KindLimited if there are too many endpoints.
func (g *Gate) Announce(a Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	ep, ok := g.byID[a.ID]
	if !ok && len(g.byID) >= maxEndpoints {
		return cowslipbend.Fail(cowslipbend.KindLimited, "agent has 1024 endpoints already", "withdraw those that are gone")
	}
	if !ok {
		ep = &endpoint{}
		g.byID[a.ID] = ep
	}
	ep.Announcement = a
	ep.seen = g.clock.Now()
	ep.silent = false
	return nil
}

// Withdraw stops new requests to an endpoint. It returns KindMissing for an
// unknown one.
func (g *Gate) Withdraw(id cowslipbend.EndpointID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	ep, ok := g.byID[id]
	if !ok {
		return cowslipbend.Fail(cowslipbend.KindMissing, "no endpoint "+string(id), "announce it first")
	}
	ep.leaving = true
	return nil
}

// Sweep stops new requests to endpoints that have been silent for the span,
// until they announce themselves again, and drops those that are idle.
func (g *Gate) Sweep(silence cowslipbend.Span) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for id, ep := range g.byID {
		if now.Sub(ep.seen) <= silence {
			continue
		}
		ep.silent = true
		if ep.open == 0 {
			delete(g.byID, id)
		}
	}
}

// pick returns the endpoint of the service with the most room.
func (g *Gate) pick(service cowslipbend.ServiceID, watch bool) (*endpoint, error) {
	var best *endpoint
	known := false
	for _, ep := range g.byID {
		if ep.Service != service {
			continue
		}
		known = true
		if !ep.fits(watch) {
			continue
		}
		if best == nil || ep.room(watch) > best.room(watch) {
			best = ep
		}
	}
	if best != nil {
		return best, nil
	}
	if !known {
		return nil, cowslipbend.Fail(cowslipbend.KindMissing, "no endpoint of service "+string(service)+" here", "route the request elsewhere")
	}
	return nil, cowslipbend.Fail(cowslipbend.KindBusy, "all slots or connections are taken", "route the request elsewhere")
}

// EndpointState is a gate's view of one endpoint.
type EndpointState struct {
	Announcement
	Inflight int
	Open     int   // connections taken
	Latency  int64 // microseconds
	Errors   int   // per mille
	Leaving  bool
}

// Endpoints returns all endpoints in the order of their ids.
func (g *Gate) Endpoints() []EndpointState {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle(g.clock.Now())
	states := make([]EndpointState, 0, len(g.byID))
	for _, ep := range g.byID {
		states = append(states, EndpointState{
			Announcement: ep.Announcement,
			Inflight:     ep.inflight,
			Open:         ep.open,
			Latency:      ep.latency,
			Errors:       ep.errors,
			Leaving:      ep.leaving || ep.silent || g.leaving,
		})
	}
	sort.Slice(states, func(i, j int) bool { return states[i].ID < states[j].ID })
	return states
}

// State returns the sums over the endpoints of a service.
func (g *Gate) State(service cowslipbend.ServiceID) EndpointState {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle(g.clock.Now())
	sum := EndpointState{Leaving: true}
	n := int64(0)
	for _, ep := range g.byID {
		if ep.Service != service {
			continue
		}
		n++
		sum.Slots += ep.Slots
		sum.Inflight += ep.inflight
		sum.Conns += ep.Conns
		sum.Open += ep.open
		sum.Latency += ep.latency
		sum.Errors += ep.errors
		sum.Leaving = sum.Leaving && (ep.leaving || ep.silent || g.leaving)
	}
	if n > 0 {
		sum.Latency /= n
		sum.Errors /= int(n)
	}
	return sum
}
