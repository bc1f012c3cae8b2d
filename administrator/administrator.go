// Package administrator is the entry's side of the operators' protocol, JSON over
// HTTP under /v1:
//
//	GET    /v1/status
//	GET    /v1/config                       the set in force
//	PUT    /v1/config?base=REV              files, as {path: text}
//	GET    /v1/jobs?pool=P
//	POST   /v1/jobs                         Job
//	DELETE /v1/jobs/{id}?pool=P
//	POST   /v1/cancel?pool=P                [id, ...], all or none
//	GET    /v1/workers?pool=P
//	POST   /v1/workers/{id}/drain?pool=P
//	POST   /v1/workers/{id}/undrain?pool=P
//	GET    /v1/burn                         the burn report
//
// Calls about a pool are passed on to the pool's owner.
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
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/publisher"
	"cowslipbend.dev/reporter"
	"cowslipbend.dev/scheduler"
	"cowslipbend.dev/tracker"
)

// maxBody bounds a call.
const maxBody = 64 << 20 // bytes

// Administrator serves operators.
type Administrator struct {
	self   tracker.Peer
	track  *tracker.Tracker
	config *publisher.Holder
	store  publisher.Store
	owners *scheduler.Owners
	burn   Burn
	clock  cowslipbend.Clock
	client *http.Client
	secret string
	log    hclog.Logger
}

// Burn makes burn reports.
type Burn interface {
	// Report merges what all entries have counted.
	Report(ctx context.Context, set *cowslipbend.Set) reporter.Report
}

// New returns an administrator of one entry.
func New(self tracker.Peer, t *tracker.Tracker, c *publisher.Holder, s publisher.Store, o *scheduler.Owners, b Burn, clock cowslipbend.Clock, secret string, log hclog.Logger) *Administrator {
	return &Administrator{self: self, track: t, config: c, store: s, owners: o, burn: b, clock: clock, client: dialer.Pooled(secret), secret: secret, log: log}
}

// Close drops the idle connections.
func (d *Administrator) Close() { d.client.CloseIdleConnections() }

// Register adds the routes to the echo server.
func (d *Administrator) Register(e *echo.Echo) {
	g := e.Group("/v1", d.guard)
	g.GET("/status", d.status)
	g.GET("/config", d.read)
	g.PUT("/config", d.publish)
	g.GET("/jobs", d.jobs)
	g.POST("/jobs", d.submit)
	g.DELETE("/jobs/:id", d.cancel)
	g.POST("/cancel", d.cancelAll)
	g.GET("/workers", d.workers)
	g.POST("/workers/:id/drain", d.drain)
	g.POST("/workers/:id/undrain", d.undrain)
	g.GET("/burn", d.readBurn)
}

func (d *Administrator) guard(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		var err error
		h := server.Guard(d.secret, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { err = next(c) }))
		h.ServeHTTP(c.Response(), c.Request())
		return err
	}
}

// Refusal is the body of a call that was refused: the first fault, and all of
// them if there are several.
type Refusal struct {
	cowslipbend.Error
	Faults []*cowslipbend.Error `json:"faults,omitempty"`
}

// fail answers with all faults of the error.
func fail(c echo.Context, err error) error {
	first := cowslipbend.AsError(err)
	list, ok := errors.AsType[cowslipbend.Errors](err)
	if !ok || len(list) < 2 {
		server.WriteError(c.Response(), first)
		return nil
	}
	return c.JSON(server.Status(first.Kind), Refusal{Error: *first, Faults: list})
}

// Condition is whether a process is heard.
type Condition string

// The conditions of a process.
const (
	// Up means that it was heard a moment ago.
	Up Condition = "up"
	// Silent means that it was not heard for a few seconds.
	Silent Condition = "silent"
	// Leaving means that it is shutting down.
	Leaving Condition = "leaving"
	// Left means that it shut down and is silent since.
	Left Condition = "left"
)

// Process is one process in a status.
type Process struct {
	Role     string               `json:"role"`
	ID       string               `json:"id"`
	Domain   cowslipbend.Domain   `json:"domain"`
	Revision cowslipbend.Revision `json:"revision"`
	State    Condition            `json:"state"`
}

// Times of a status.
const (
	silence = 3 * cowslipbend.Second
	// forget is the silence after which a process that left is not listed.
	forget = cowslipbend.Minute
)

// condition tells how a process is that was last heard at the moment.
func (d *Administrator) condition(heard cowslipbend.Time, leaving bool) Condition {
	quiet := d.clock.Now().Sub(heard) > silence
	switch {
	case leaving && quiet:
		return Left
	case leaving:
		return Leaving
	case quiet:
		return Silent
	}
	return Up
}

// gone reports whether a process is not listed: it left long ago, or is known
// only from others, as an entry is whose row outlived it. Such a one was heard
// at 0.
func (d *Administrator) gone(heard cowslipbend.Time, leaving bool) bool {
	return heard == 0 || leaving && d.clock.Now().Sub(heard) > forget
}

// Pool is one pool in a status.
type Pool struct {
	Name  cowslipbend.PoolID  `json:"name"`
	Owner cowslipbend.EntryID `json:"owner"`
	Epoch cowslipbend.Epoch   `json:"epoch"`
}

// Status is what an entry knows of the system.
type Status struct {
	Entry     cowslipbend.EntryID  `json:"entry"`
	Revision  cowslipbend.Revision `json:"revision"`
	Processes []Process            `json:"processes"`
	Pools     []Pool               `json:"pools"`
}

func (d *Administrator) status(c echo.Context) error {
	rev, set := d.config.Set()
	s := Status{Entry: d.self.ID, Revision: rev}
	s.Processes = append(s.Processes, Process{Role: "entry", ID: string(d.self.ID), Domain: d.self.Domain, Revision: rev, State: Up})
	for _, p := range d.track.Peers() {
		if !d.gone(p.Seen, p.Leaving) {
			s.Processes = append(s.Processes, Process{Role: "entry", ID: string(p.ID), Domain: p.Domain, Revision: p.Revision, State: d.condition(p.Seen, p.Leaving)})
		}
	}
	for _, a := range d.track.Agents() {
		if !d.gone(a.Seen, a.Leaving) {
			s.Processes = append(s.Processes, Process{Role: "agent", ID: string(a.Worker), Domain: a.Domain, Revision: a.Revision, State: d.condition(a.Seen, a.Leaving)})
		}
	}
	for _, p := range set.Pools {
		head := d.owners.Head(p.Name)
		s.Pools = append(s.Pools, Pool{Name: p.Name, Owner: head.Owner, Epoch: head.Epoch})
	}
	return c.JSON(http.StatusOK, s)
}

// Config is the set in force with its revision.
type Config struct {
	Revision cowslipbend.Revision `json:"revision"`
	Set      *cowslipbend.Set     `json:"set"`
}

func (d *Administrator) read(c echo.Context) error {
	rev, set := d.config.Set()
	return c.JSON(http.StatusOK, Config{Revision: rev, Set: set})
}

func (d *Administrator) readBurn(c echo.Context) error {
	_, set := d.config.Set()
	return c.JSON(http.StatusOK, d.burn.Report(c.Request().Context(), set))
}

// Published tells which revision a publish made.
type Published struct {
	Revision cowslipbend.Revision `json:"revision"`
}

func (d *Administrator) publish(c echo.Context) error {
	base, err := strconv.ParseInt(c.QueryParam("base"), 10, 64)
	if err != nil || base < 0 {
		return fail(c, cowslipbend.Invalid("base", c.QueryParam("base")+" is no revision", "give the revision that the change is based on"))
	}
	set, err := d.decode(c)
	if err != nil {
		return fail(c, err)
	}
	if err := d.fits(set); err != nil {
		return fail(c, err)
	}
	rev, raw, err := d.store.Publish(c.Request().Context(), cowslipbend.Revision(base), set)
	if err != nil {
		return fail(c, err)
	}
	if err := d.config.Install(rev, raw); err != nil {
		return fail(c, err)
	}
	return c.JSON(http.StatusOK, Published{Revision: rev})
}

// decode reads the files of a publish and checks them as a whole.
func (d *Administrator) decode(c echo.Context) (*cowslipbend.Set, error) {
	var texts map[string]string
	if err := body(c, &texts); err != nil {
		return nil, err
	}
	files := checker.Files{}
	for name, text := range texts {
		files[name] = []byte(text)
	}
	return checker.Decode(files)
}

// fits returns a fault for each service whose replica no known worker of its
// pool can hold. A pool without known workers may come later.
func (d *Administrator) fits(set *cowslipbend.Set) error {
	var l cowslipbend.Errors
	for i := range set.Services {
		s := &set.Services[i]
		workers, holds := 0, false
		for _, a := range d.track.Agents() {
			if a.Pool == s.Pool && a.Size != (cowslipbend.Resources{}) { // An agent learns its size after it starts.
				workers++
				holds = holds || s.Size.Fits(a.Size)
			}
		}
		if workers > 0 && !holds {
			l.Add(cowslipbend.Invalid("service "+string(s.Name)+".size",
				fmt.Sprintf("none of the %d workers of pool %s can hold a replica", workers, s.Pool), "ask for less"))
		}
	}
	return l.Err()
}

// body decodes a JSON body strictly.
func body(c echo.Context, into any) error {
	return Decode(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody), into)
}

// Decode reads one JSON value strictly: a field that is not known, a wrong
// type, a broken end and text behind the value all give KindInvalid.
func Decode(r io.Reader, into any) error {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	if err == nil {
		if _, rest := dec.Token(); !errors.Is(rest, io.EOF) {
			err = errors.New("text follows the value")
		}
	}
	if err != nil {
		text := strings.TrimPrefix(err.Error(), "json: ")
		return cowslipbend.Invalid("body", "does not decode: "+text, "compare it with the documented form")
	}
	return nil
}

// headerPassed marks a call that was passed on once.
const headerPassed = "Cowslip-Passed"

// owner returns the pool's owner here, or passes the call on and returns nil.
func (d *Administrator) owner(c echo.Context, pool cowslipbend.PoolID, payload any) (*scheduler.Owner, error) {
	if o := d.owners.Owner(pool); o != nil {
		return o, nil
	}
	if !d.known(pool) {
		return nil, cowslipbend.Fail(cowslipbend.KindMissing, "no pool is named "+strconv.Quote(string(pool)), "declare and publish it, or correct the name")
	}
	head := d.owners.Head(pool)
	if head.URL == "" || head.Owner == d.self.ID || c.Request().Header.Get(headerPassed) != "" {
		return nil, &cowslipbend.Error{
			Kind: cowslipbend.KindDown, What: "pool " + string(pool) + " has no owner now", Remedy: "try again", After: cowslipbend.Second,
		}
	}
	return nil, d.pass(c, head.URL, payload)
}

// known reports whether the set in force declares the pool.
func (d *Administrator) known(pool cowslipbend.PoolID) bool {
	_, set := d.config.Set()
	for i := range set.Pools {
		if set.Pools[i].Name == pool {
			return true
		}
	}
	return false
}

// pass repeats the call at another entry and copies the answer.
func (d *Administrator) pass(c echo.Context, url string, payload any) error {
	data, err := json.Marshal(payload)
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "call does not encode")
	}
	return d.relay(c, url, data)
}
