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

// drain empties a worker: it gets no new tasks, its batch is evicted, and its
// replicas go once others run.
func (d *Administrator) drain(c echo.Context) error {
	return d.change(c, nil, func(ctx context.Context, o *scheduler.Owner) error {
		return o.Drain(ctx, cowslipbend.WorkerID(c.Param("id")))
	})
}

// undrain gives a drained worker back.
func (d *Administrator) undrain(c echo.Context) error {
	return d.change(c, nil, func(ctx context.Context, o *scheduler.Owner) error {
		return o.Undrain(ctx, cowslipbend.WorkerID(c.Param("id")))
	})
}

// maxCancel bounds the jobs of one wave.
const maxCancel = 10000

// cancelAll cancels many jobs by one record; with an unknown id, none.
func (d *Administrator) cancelAll(c echo.Context) error {
	var ids []cowslipbend.JobID
	if err := body(c, &ids); err != nil {
		return fail(c, err)
	}
	if len(ids) == 0 || len(ids) > maxCancel {
		return fail(c, cowslipbend.Invalid("body", "names no jobs or too many", "give 1 to 10000 ids and split larger waves"))
	}
	return d.change(c, ids, func(ctx context.Context, o *scheduler.Owner) error { return o.Cancel(ctx, ids...) })
}

// change has the pool's owner make a change, here or at another entry.
func (d *Administrator) change(c echo.Context, payload any, f func(context.Context, *scheduler.Owner) error) error {
	owner, err := d.owner(c, cowslipbend.PoolID(c.QueryParam("pool")), payload)
	if err != nil {
		return fail(c, err)
	}
	if owner == nil {
		return nil
	}
	if err := f(c.Request().Context(), owner); err != nil {
		return fail(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

// Worker is one worker of a pool in a listing.
type Worker struct {
	ID        cowslipbend.WorkerID `json:"id"`
	Pool      cowslipbend.PoolID   `json:"pool"`
	Domain    cowslipbend.Domain   `json:"domain"`
	Rack      cowslipbend.Rack     `json:"rack"`
	Condition journaler.Condition  `json:"condition"`
	Drained   bool                 `json:"drained,omitempty"`
	// Tasks counts what is assigned to it or runs there, Held is what that
	// reserves of Size.
	Tasks int                   `json:"tasks"`
	Held  cowslipbend.Resources `json:"held"`
	Size  cowslipbend.Resources `json:"size"`
}

// workers lists the workers of a pool as its owner's journal tells.
func (d *Administrator) workers(c echo.Context) error {
	owner, err := d.owner(c, cowslipbend.PoolID(c.QueryParam("pool")), nil)
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
			list[i].Held = list[i].Held.Plus(t.Size)
		}
	}
	return list
}
