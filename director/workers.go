package director

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"cowslipbend.dev"
	"cowslipbend.dev/scheduler"
)

// drain empties a worker: it gets no new tasks, its batch is evicted, and its
// replicas go once others run.
func (d *Director) drain(c echo.Context) error {
	return d.change(c, nil, func(ctx context.Context, o *scheduler.Owner) error {
		return o.Drain(ctx, cowslipbend.WorkerID(c.Param("id")))
	})
}

// undrain gives a drained worker back.
func (d *Director) undrain(c echo.Context) error {
	return d.change(c, nil, func(ctx context.Context, o *scheduler.Owner) error {
		return o.Undrain(ctx, cowslipbend.WorkerID(c.Param("id")))
	})
}

// maxCancel bounds the jobs of one wave.
const maxCancel = 10000

// cancelAll cancels many jobs by one record; with an unknown id, none.
func (d *Director) cancelAll(c echo.Context) error {
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
func (d *Director) change(c echo.Context, payload any, f func(context.Context, *scheduler.Owner) error) error {
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
