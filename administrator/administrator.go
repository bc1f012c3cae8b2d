package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"cowslipbend.dev"
	"cowslipbend.dev/checker"
	"cowslipbend.dev/cordoner"
	"cowslipbend.dev/internal/bounder"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/publisher"
	"cowslipbend.dev/reporter"
	"cowslipbend.dev/scheduler"
	"cowslipbend.dev/tracker"
)

// maxBody bounds the body of a request and of a forwarded response.
const maxBody = 64 << 20 // bytes

// Administrator serves the operators' protocol in one entry.
type Administrator struct {
	self         tracker.Peer
	tracker      *tracker.Tracker
	config       *publisher.Holder
	store        publisher.Store
	owners       *scheduler.Owners
	domains      *cordoner.Cordoner
	burnReporter BurnReporter
	clock        cowslipbend.Clock
	client       *http.Client
	secret       string
	log          hclog.Logger
}

// BurnReporter makes reports on the error budgets of services.
type BurnReporter interface {
	// Report merges the request counts of all entries.
	Report(ctx context.Context, set *cowslipbend.Set) reporter.Report
}

// New returns the administrator of an entry.
func New(self tracker.Peer, t *tracker.Tracker, c *publisher.Holder, s publisher.Store, o *scheduler.Owners, d *cordoner.Cordoner, b BurnReporter, clock cowslipbend.Clock, secret string, log hclog.Logger) *Administrator {
	return &Administrator{self: self, tracker: t, config: c, store: s, owners: o, domains: d, burnReporter: b, clock: clock, client: dialer.Pooled(secret), secret: secret, log: log}
}

// Close closes the idle connections.
func (a *Administrator) Close() { a.client.CloseIdleConnections() }

// Register adds the routes to the echo server.
func (a *Administrator) Register(e *echo.Echo) {
	g := e.Group("/v1", a.requireSecret)
	g.GET("/status", a.status)
	g.GET("/config", a.readConfig)
	g.PUT("/config", a.publish)
	g.GET("/jobs", a.jobs)
	g.POST("/jobs", a.submit)
	g.DELETE("/jobs/:id", a.cancel)
	g.POST("/cancel", a.cancelAll)
	g.GET("/workers", a.workers)
	g.POST("/workers/:id/drain", a.drain)
	g.POST("/workers/:id/undrain", a.undrain)
	g.GET("/burn", a.burn)
	g.GET("/domains", a.listDomains)
	g.POST("/domains/:domain/out", a.takeDomainOut)
	g.POST("/domains/:domain/back", a.putDomainBack)
}

func (a *Administrator) requireSecret(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		var err error
		h := server.Guard(a.secret, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { err = next(c) }))
		h.ServeHTTP(c.Response(), c.Request())
		return err
	}
}

// Refusal is the body of an error response: the first fault, and the list of
// all faults if there are several.
type Refusal struct {
	cowslipbend.Error
	Faults []*cowslipbend.Error `json:"faults,omitempty"`
}

// fail writes the error, with all its faults, as the response.
func fail(c echo.Context, err error) error {
	first := cowslipbend.AsError(err)
	list, ok := errors.AsType[cowslipbend.Errors](err)
	if !ok || len(list) < 2 {
		server.WriteError(c.Response(), first)
		return nil
	}
	return c.JSON(server.Status(first.Kind), Refusal{Error: *first, Faults: list})
}

// Condition is the state of a process as this entry observes it.
type Condition string

// The conditions of a process.
const (
	// Up means that the last contact is at most contactTimeout ago.
	Up Condition = "up"
	// Silent means that the last contact is longer ago.
	Silent Condition = "silent"
	// Leaving means that it is shutting down.
	Leaving Condition = "leaving"
	// Left means that it was shutting down and is out of contact since.
	Left Condition = "left"
)

// Process describes one process in a Status.
type Process struct {
	Role     string               `json:"role"`
	ID       string               `json:"id"`
	Domain   cowslipbend.Domain   `json:"domain"`
	Revision cowslipbend.Revision `json:"revision"`
	State    Condition            `json:"state"`
}

const (
	contactTimeout = 3 * cowslipbend.Second
	// leftRetention is the time since the last contact after which a process
	// that left is no longer listed.
	leftRetention = cowslipbend.Minute
)

// condition returns the condition of a process by the moment of its last
// contact and whether it announced that it is leaving.
func (a *Administrator) condition(lastContact cowslipbend.Time, leaving bool) Condition {
	outOfContact := a.clock.Now().Sub(lastContact) > contactTimeout
	switch {
	case leaving && outOfContact:
		return Left
	case leaving:
		return Leaving
	case outOfContact:
		return Silent
	}
	return Up
}

// unlisted reports whether a process is omitted from a status: it left longer
// than leftRetention ago, or this entry never had contact with it, which shows
// as a last contact of 0. The latter is an entry that others still list
// because its row outlived it.
func (a *Administrator) unlisted(lastContact cowslipbend.Time, leaving bool) bool {
	return lastContact == 0 || leaving && a.clock.Now().Sub(lastContact) > leftRetention
}

// Pool describes one pool in a Status.
type Pool struct {
	Name  cowslipbend.PoolID  `json:"name"`
	Owner cowslipbend.EntryID `json:"owner"`
	Epoch cowslipbend.Epoch   `json:"epoch"`
}

// Status is the state of the system as one entry knows it.
type Status struct {
	Entry     cowslipbend.EntryID  `json:"entry"`
	Revision  cowslipbend.Revision `json:"revision"`
	Processes []Process            `json:"processes"`
	Pools     []Pool               `json:"pools"`
}

func (a *Administrator) status(c echo.Context) error {
	rev, set := a.config.Set()
	s := Status{Entry: a.self.ID, Revision: rev}
	s.Processes = append(s.Processes, Process{Role: "entry", ID: string(a.self.ID), Domain: a.self.Domain, Revision: rev, State: Up})
	for _, peer := range a.tracker.Peers() {
		if !a.unlisted(peer.LastContact, peer.Leaving) {
			s.Processes = append(s.Processes, Process{Role: "entry", ID: string(peer.ID), Domain: peer.Domain, Revision: peer.Revision, State: a.condition(peer.LastContact, peer.Leaving)})
		}
	}
	for _, agent := range a.tracker.Agents() {
		if !a.unlisted(agent.LastHeartbeat, agent.Leaving) {
			s.Processes = append(s.Processes, Process{Role: "agent", ID: string(agent.Worker), Domain: agent.Domain, Revision: agent.Revision, State: a.condition(agent.LastHeartbeat, agent.Leaving)})
		}
	}
	for _, pool := range set.Pools {
		head := a.owners.Head(pool.Name)
		s.Pools = append(s.Pools, Pool{Name: pool.Name, Owner: head.Owner, Epoch: head.Epoch})
	}
	return c.JSON(http.StatusOK, s)
}

// Config is the set in force with its revision.
type Config struct {
	Revision cowslipbend.Revision `json:"revision"`
	Set      *cowslipbend.Set     `json:"set"`
}

func (a *Administrator) readConfig(c echo.Context) error {
	rev, set := a.config.Set()
	return c.JSON(http.StatusOK, Config{Revision: rev, Set: set})
}

func (a *Administrator) burn(c echo.Context) error {
	_, set := a.config.Set()
	return c.JSON(http.StatusOK, a.burnReporter.Report(c.Request().Context(), set))
}

// PublishReply is the body of the response to a publish: the new revision.
type PublishReply struct {
	Revision cowslipbend.Revision `json:"revision"`
}

func (a *Administrator) publish(c echo.Context) error {
	base, err := strconv.ParseInt(c.QueryParam("base"), 10, 64)
	if err != nil || base < 0 {
		return fail(c, cowslipbend.Invalid("base", c.QueryParam("base")+" is not a revision number", "give the revision that the change is based on"))
	}
	set, err := a.decodeSet(c)
	if err != nil {
		return fail(c, err)
	}
	if err := a.checkWorkerSizes(set); err != nil {
		return fail(c, err)
	}
	rev, raw, err := a.store.Publish(c.Request().Context(), cowslipbend.Revision(base), set)
	if err != nil {
		return fail(c, err)
	}
	if err := a.config.Install(rev, raw); err != nil {
		return fail(c, err)
	}
	return c.JSON(http.StatusOK, PublishReply{Revision: rev})
}

// decodeSet reads the files of a publish and validates them as a whole.
func (a *Administrator) decodeSet(c echo.Context) (*cowslipbend.Set, error) {
	var texts map[string]string
	if err := decodeBody(c, &texts); err != nil {
		return nil, err
	}
	files := checker.Files{}
	for name, text := range texts {
		files[name] = []byte(text)
	}
	return checker.Decode(files)
}

// checkWorkerSizes returns a fault for each service whose replica is larger
// than every known worker of its pool. A pool without known workers passes, as
// its workers may join later.
func (a *Administrator) checkWorkerSizes(set *cowslipbend.Set) error {
	var l cowslipbend.Errors
	for i := range set.Services {
		service := &set.Services[i]
		workers, fits := 0, false
		for _, agent := range a.tracker.Agents() {
			if agent.Pool == service.Pool && agent.Size != (cowslipbend.Resources{}) { // An agent reports its size only some time after it starts.
				workers++
				fits = fits || service.Size.Fits(agent.Size)
			}
		}
		if workers > 0 && !fits {
			l.Add(cowslipbend.Invalid("service "+string(service.Name)+".size",
				fmt.Sprintf("none of the %d workers of pool %s can hold a replica", workers, service.Pool), "ask for less"))
		}
	}
	return l.Err()
}

// decodeBody decodes the JSON body of the request strictly.
func decodeBody(c echo.Context, out any) error {
	return Decode(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody), out)
}

// Decode decodes one JSON value strictly: an unknown field, a wrong type,
// truncated input and text after the value all return KindInvalid.
func Decode(r io.Reader, out any) error {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	err := dec.Decode(out)
	if err == nil {
		if _, tokenErr := dec.Token(); !errors.Is(tokenErr, io.EOF) {
			err = errors.New("text follows the value")
		}
	}
	if refusal := bounder.Refusal(err); refusal != nil {
		return refusal
	}
	if err != nil {
		text := strings.TrimPrefix(err.Error(), "json: ")
		return cowslipbend.Invalid("body", "does not decode: "+text, "compare it with the documented form")
	}
	return nil
}

// headerForwarded marks a request that was forwarded once and must not be
// forwarded again.
const headerForwarded = "Cowslip-Passed"

// ownerOrForward returns the pool's owner if it is in this process. Otherwise
// it forwards the request to the owner's entry, writes the response and
// returns nil.
func (a *Administrator) ownerOrForward(c echo.Context, pool cowslipbend.PoolID, payload any) (*scheduler.Owner, error) {
	if o := a.owners.Owner(pool); o != nil {
		return o, nil
	}
	if !a.declaresPool(pool) {
		return nil, cowslipbend.Fail(cowslipbend.KindMissing, "no pool is named "+strconv.Quote(string(pool)), "declare and publish it, or correct the name")
	}
	head := a.owners.Head(pool)
	if head.URL == "" || head.Owner == a.self.ID || c.Request().Header.Get(headerForwarded) != "" {
		return nil, &cowslipbend.Error{
			Kind: cowslipbend.KindDown, What: "pool " + string(pool) + " has no owner now", Remedy: "try again", After: cowslipbend.Second,
		}
	}
	return nil, a.forward(c, head.URL, payload)
}

// declaresPool reports whether the set in force declares the pool.
func (a *Administrator) declaresPool(pool cowslipbend.PoolID) bool {
	_, set := a.config.Set()
	for i := range set.Pools {
		if set.Pools[i].Name == pool {
			return true
		}
	}
	return false
}

// forward sends the request with the payload as JSON to another entry and
// copies the response.
func (a *Administrator) forward(c echo.Context, url string, payload any) error {
	data, err := json.Marshal(payload)
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "cannot encode the request as JSON")
	}
	return a.forwardBody(c, url, data)
}
