package administrator

import (
	"context"
	"net/http"
	"sort"

	"github.com/labstack/echo/v4"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/scheduler"
)

// drain takes a worker out of service: it gets no new tasks, its batch tasks
// are evicted, and its replicas are stopped once their replacements run.
func (a *Administrator) drain(c echo.Context) error {
	return a.applyAtOwner(c, nil, func(ctx context.Context, o *scheduler.Owner) error {
		return o.Drain(ctx, cowslipbend.WorkerID(c.Param("id")))
	})
}

// undrain returns a drained worker to service.
func (a *Administrator) undrain(c echo.Context) error {
	return a.applyAtOwner(c, nil, func(ctx context.Context, o *scheduler.Owner) error {
		return o.Undrain(ctx, cowslipbend.WorkerID(c.Param("id")))
	})
}

// maxCancelJobs bounds the number of jobs in one call of cancelAll.
const maxCancelJobs = 10000

// cancelAll cancels many jobs by one journal record. If an id is unknown, it
// cancels none.
func (a *Administrator) cancelAll(c echo.Context) error {
	var ids []cowslipbend.JobID
	if err := decodeBody(c, &ids); err != nil {
		return fail(c, err)
	}
	if len(ids) == 0 || len(ids) > maxCancelJobs {
		return fail(c, cowslipbend.Invalid("body", "names no jobs or more than 10000", "give 1 to 10000 ids and split longer lists"))
	}
	return a.applyAtOwner(c, ids, func(ctx context.Context, o *scheduler.Owner) error { return o.Cancel(ctx, ids...) })
}

// applyAtOwner applies a change at the pool's owner, in this process or by
// forwarding the request with the payload to the owner's entry.
func (a *Administrator) applyAtOwner(c echo.Context, payload any, apply func(context.Context, *scheduler.Owner) error) error {
	owner, err := a.ownerOrForward(c, cowslipbend.PoolID(c.QueryParam("pool")), payload)
	if err != nil {
		return fail(c, err)
	}
	if owner == nil {
		return nil
	}
	if err := apply(c.Request().Context(), owner); err != nil {
		return fail(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

// Worker describes one worker of a pool in a listing.
type Worker struct {
	ID        cowslipbend.WorkerID `json:"id"`
	Pool      cowslipbend.PoolID   `json:"pool"`
	Domain    cowslipbend.Domain   `json:"domain"`
	Rack      cowslipbend.Rack     `json:"rack"`
	Condition journaler.Condition  `json:"condition"`
	Drained   bool                 `json:"drained,omitempty"`
	// Tasks is the number of tasks assigned to or running on the worker, and
	// Reserved the part of Size that they reserve.
	Tasks    int                   `json:"tasks"`
	Reserved cowslipbend.Resources `json:"held"`
	Size     cowslipbend.Resources `json:"size"`
}

// workers lists the workers of a pool from its owner's journal state.
func (a *Administrator) workers(c echo.Context) error {
	owner, err := a.ownerOrForward(c, cowslipbend.PoolID(c.QueryParam("pool")), nil)
	if err != nil {
		return fail(c, err)
	}
	if owner == nil {
		return nil
	}
	var list []Worker
	if err := owner.View(c.Request().Context(), func(e *scheduler.Engine) { list = listWorkers(e.State()) }); err != nil {
		return fail(c, err)
	}
	return c.JSON(http.StatusOK, list)
}

func listWorkers(s *journaler.State) []Worker {
	list := make([]Worker, 0, len(s.Workers))
	index := map[cowslipbend.WorkerID]int{}
	for _, w := range s.Workers {
		list = append(list, Worker{
			ID: w.Spec.ID, Pool: w.Spec.Pool, Domain: w.Spec.Domain, Rack: w.Spec.Rack,
			Condition: w.Condition, Drained: w.Drained, Size: w.Spec.Size,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	for i := range list {
		index[list[i].ID] = i
	}
	for _, t := range s.Tasks {
		if i, ok := index[t.Worker]; ok {
			list[i].Tasks++
			list[i].Reserved = list[i].Reserved.Plus(t.Size)
		}
	}
	return list
}
