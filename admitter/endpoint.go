package admitter

import (
	"fmt"
	"net/url"
	"sort"

	"cowslipbend.dev"
)

// Announcement is the registration of an endpoint with its agent.
type Announcement struct {
	ID      cowslipbend.EndpointID `json:"id"`
	Service cowslipbend.ServiceID  `json:"service"`
	URL     string                 `json:"url"`
	Slots   int                    `json:"slots"`
	Conns   int                    `json:"conns"`
}

const (
	maxSlots = 4096
	maxConns = 65536
)

// Check returns all faults of the announcement as KindInvalid errors.
func (a *Announcement) Check() error {
	var l cowslipbend.Errors
	l.Add(cowslipbend.CheckName("id", string(a.ID)))
	l.Add(cowslipbend.CheckName("service", string(a.Service)))
	u, err := url.Parse(a.URL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		l.Add(cowslipbend.Invalid("url", fmt.Sprintf("%q is not an endpoint URL", a.URL), "give http://IP:PORT"))
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		l.Add(cowslipbend.Invalid("slots", fmt.Sprintf("%d is out of bounds", a.Slots), "give 1 to 4096"))
	}
	if a.Conns < 1 || a.Conns > maxConns {
		l.Add(cowslipbend.Invalid("conns", fmt.Sprintf("%d is out of bounds", a.Conns), "give 1 to 65536"))
	}
	return l.Err()
}

// endpoint is an announced endpoint with its load and measurements.
type endpoint struct {
	Announcement
	lastContact   cowslipbend.Time
	withdrawn     bool
	timedOut      bool
	usedSlots     int
	openConns     int              // connections in use, at least usedSlots
	latencyMicros int64            // moving average
	longestAnswer cowslipbend.Span // longest time of recent answers, decaying
	errorPermille int              // moving average of the error rate
}

// canAccept reports whether one more request can run. A watch uses a connection
// but no slot, any other request uses both.
func (e *endpoint) canAccept(watch bool) bool {
	return !e.withdrawn && !e.timedOut && e.openConns < e.Conns && (watch || e.usedSlots < e.Slots)
}

func (e *endpoint) acquire(watch bool) {
	e.openConns++
	if !watch {
		e.usedSlots++
	}
}

func (e *endpoint) release(watch bool) {
	e.openConns--
	if !watch {
		e.usedSlots--
	}
}

// freeCapacity returns the free connections for a watch, and the free slots for
// any other request.
func (e *endpoint) freeCapacity(watch bool) int {
	if watch {
		return e.Conns - e.openConns
	}
	return e.Slots - e.usedSlots
}

// averagingDivisor is the inverse weight of a sample in the moving averages.
const averagingDivisor = 16

// longestAnswerDecay is the inverse of the part by which the longest answer time
// decays at each answer.
const longestAnswerDecay = 256

const perMille = 1000

// recordOutcome updates the moving averages after a request.
func (e *endpoint) recordOutcome(micros int64, failed bool) {
	sample := 0
	if failed {
		sample = perMille
	}
	e.errorPermille += (sample - e.errorPermille) / averagingDivisor
	e.latencyMicros += (micros - e.latencyMicros) / averagingDivisor
}

// recordDuration updates the longest answer time.
func (e *endpoint) recordDuration(took cowslipbend.Span) {
	e.longestAnswer = max(took, e.longestAnswer-e.longestAnswer/longestAnswerDecay)
}

// maxEndpoints bounds the endpoints of one agent.
const maxEndpoints = 1024

// Announce registers an endpoint or renews its registration. It returns
// KindInvalid for an invalid announcement and KindLimited if there are too many
// endpoints.
func (g *Gate) Announce(a Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	ep, ok := g.endpoints[a.ID]
	if !ok && len(g.endpoints) >= maxEndpoints {
		return cowslipbend.Fail(cowslipbend.KindLimited, "agent already has the maximum of 1024 endpoints", "withdraw endpoints that no longer run")
	}
	if !ok {
		ep = &endpoint{}
		g.endpoints[a.ID] = ep
	}
	ep.Announcement = a
	ep.lastContact = g.clock.Now()
	ep.timedOut = false
	return nil
}

// Withdraw stops new requests to an endpoint. A later announcement does not undo
// that. It returns KindMissing if the endpoint is not registered.
func (g *Gate) Withdraw(id cowslipbend.EndpointID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	ep, ok := g.endpoints[id]
	if !ok {
		return cowslipbend.Fail(cowslipbend.KindMissing, "no endpoint with id "+string(id), "announce it first")
	}
	ep.withdrawn = true
	return nil
}

// ExpireEndpoints stops new requests to endpoints whose last announcement is
// older than the timeout, until they announce themselves again. It removes
// those of them without connections in use.
func (g *Gate) ExpireEndpoints(timeout cowslipbend.Span) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for id, ep := range g.endpoints {
		if now.Sub(ep.lastContact) <= timeout {
			continue
		}
		ep.timedOut = true
		if ep.openConns == 0 {
			delete(g.endpoints, id)
		}
	}
}

// pickEndpoint returns the endpoint of the service with the most free capacity.
func (g *Gate) pickEndpoint(service cowslipbend.ServiceID, watch bool) (*endpoint, error) {
	var best *endpoint
	hasEndpoint := false
	for _, ep := range g.endpoints {
		if ep.Service != service {
			continue
		}
		hasEndpoint = true
		if !ep.canAccept(watch) {
			continue
		}
		if best == nil || ep.freeCapacity(watch) > best.freeCapacity(watch) {
			best = ep
		}
	}
	if best != nil {
		return best, nil
	}
	if !hasEndpoint {
		return nil, cowslipbend.Fail(cowslipbend.KindMissing, "no endpoint of service "+string(service)+" on this host", "route the request elsewhere")
	}
	return nil, cowslipbend.Fail(cowslipbend.KindBusy, "all slots or connections of the service's endpoints are in use", "route the request elsewhere")
}

// EndpointState is the load and the measurements of one endpoint, or of all
// endpoints of a service.
type EndpointState struct {
	Announcement
	UsedSlots     int
	OpenConns     int
	LatencyMicros int64 // moving average
	ErrorPermille int   // moving average of the error rate
	// Leaving is set if new requests are refused.
	Leaving bool
}

// Endpoints returns the states of all endpoints, sorted by id.
func (g *Gate) Endpoints() []EndpointState {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseAbandoned(g.clock.Now())
	states := make([]EndpointState, 0, len(g.endpoints))
	for _, ep := range g.endpoints {
		states = append(states, EndpointState{
			Announcement:  ep.Announcement,
			UsedSlots:     ep.usedSlots,
			OpenConns:     ep.openConns,
			LatencyMicros: ep.latencyMicros,
			ErrorPermille: ep.errorPermille,
			Leaving:       ep.withdrawn || ep.timedOut || g.leaving,
		})
	}
	sort.Slice(states, func(i, j int) bool { return states[i].ID < states[j].ID })
	return states
}

// State returns the sums of slots and connections and the means of latency and
// error rate over the endpoints of a service. Leaving is set if all are leaving.
func (g *Gate) State(service cowslipbend.ServiceID) EndpointState {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseAbandoned(g.clock.Now())
	sum := EndpointState{Leaving: true}
	count := int64(0)
	for _, ep := range g.endpoints {
		if ep.Service != service {
			continue
		}
		count++
		sum.Slots += ep.Slots
		sum.UsedSlots += ep.usedSlots
		sum.Conns += ep.Conns
		sum.OpenConns += ep.openConns
		sum.LatencyMicros += ep.latencyMicros
		sum.ErrorPermille += ep.errorPermille
		sum.Leaving = sum.Leaving && (ep.withdrawn || ep.timedOut || g.leaving)
	}
	if count > 0 {
		sum.LatencyMicros /= count
		sum.ErrorPermille /= int(count)
	}
	return sum
}
