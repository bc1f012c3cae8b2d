package administrator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sort"

	"github.com/labstack/echo/v4"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/scheduler"
)

// Job describes one job in a listing, with the number of its tasks by phase.
type Job struct {
	cowslipbend.Job
	Phases    map[cowslipbend.Phase]int `json:"phases"`
	Evictions int                       `json:"evictions"`
	CPU       cowslipbend.CPUTime       `json:"cpu"`
	Reasons   []string                  `json:"reasons,omitempty"`
}

func (a *Administrator) jobs(c echo.Context) error {
	pool := cowslipbend.PoolID(c.QueryParam("pool"))
	owner, err := a.ownerOrForward(c, pool, nil)
	if err != nil {
		return fail(c, err)
	}
	if owner == nil {
		return nil
	}
	var list []Job
	if err := owner.View(c.Request().Context(), func(e *scheduler.Engine) { list = listJobs(e) }); err != nil {
		return fail(c, err)
	}
	return c.JSON(http.StatusOK, list)
}

func listJobs(e *scheduler.Engine) []Job {
	state := e.State()
	list := make([]Job, 0, len(state.Jobs))
	for id, job := range state.Jobs {
		j := Job{Job: *job, Phases: map[cowslipbend.Phase]int{}}
		for i := range job.Tasks {
			t := state.Tasks[cowslipbend.MakeTaskID(id, i)]
			j.Phases[t.Phase]++
			j.Evictions += t.Evictions
			j.CPU += t.CPU
			if t.Phase == cowslipbend.Parked {
				j.Reasons = append(j.Reasons, string(t.ID)+": "+t.Reason)
			}
		}
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

func (a *Administrator) submit(c echo.Context) error {
	var job cowslipbend.Job
	if err := decodeBody(c, &job); err != nil {
		return fail(c, err)
	}
	if err := job.Check(); err != nil {
		return fail(c, err)
	}
	if !job.Batch() {
		return fail(c, cowslipbend.Invalid("job.service", "is set, but only batch jobs can be submitted", "declare services instead of submitting them"))
	}
	if err := a.checkTeam(job); err != nil {
		return fail(c, err)
	}
	owner, err := a.ownerOrForward(c, job.Pool, job)
	if err != nil {
		return fail(c, err)
	}
	if owner == nil {
		return nil
	}
	if err := owner.Submit(c.Request().Context(), job); err != nil {
		return fail(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

// checkTeam returns an error unless the set in force declares the job's team.
func (a *Administrator) checkTeam(job cowslipbend.Job) error {
	_, set := a.config.Set()
	for i := range set.Teams {
		if set.Teams[i].Name == job.Team {
			return nil
		}
	}
	return cowslipbend.Fail(cowslipbend.KindMissing, "no team is named "+string(job.Team), "declare and publish it, or correct job.team")
}

func (a *Administrator) cancel(c echo.Context) error {
	return a.applyAtOwner(c, nil, func(ctx context.Context, o *scheduler.Owner) error {
		return o.Cancel(ctx, cowslipbend.JobID(c.Param("id")))
	})
}

// forwardBody sends the request with the given body to the entry at the URL
// and copies the response.
func (a *Administrator) forwardBody(c echo.Context, url string, data []byte) error {
	in := c.Request()
	out, err := http.NewRequestWithContext(in.Context(), in.Method, url+in.URL.RequestURI(), bytes.NewReader(data))
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "cannot forward the request to the owner of the pool")
	}
	out.Header.Set(headerForwarded, string(a.self.ID))
	out.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(out)
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindUnknown, err, "repeat it with the same id", "owner of the pool did not respond")
	}
	defer resp.Body.Close()
	// The whole response is read first, as a response that has begun can no longer
	// become an error.
	body, err := io.ReadAll(dialer.Bound(resp.Body, maxBody))
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindUnknown, err, "repeat it with the same id", "response of the pool's owner was cut off")
	}
	return c.Blob(resp.StatusCode, resp.Header.Get("Content-Type"), body)
}
