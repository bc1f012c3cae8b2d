package hostrunner_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/hostrunner"
	"cowslipbend.dev/timer"
)

// startTask has the runner start the first run of a task.
func startTask(t *testing.T, r *hostrunner.Runner, name, task string) {
	t.Helper()
	startTaskUntil(t, r, name, task, timer.Host{}.Now().Add(cowslipbend.Minute))
}

// startTaskUntil is startTask with the deadline, until which the runner has a lease.
func startTaskUntil(t *testing.T, r *hostrunner.Runner, name, task string, deadline cowslipbend.Time) {
	t.Helper()
	call(t, r, name, "run-start", fmt.Sprintf(`{"task":"%s","run":1,"fencing_token":1,"deadline_ms":%d}`, task, deadline))
}

// reply is what tests read of a runner's reply.
type reply struct {
	Clock   cowslipbend.Time `json:"clock_ms"`
	Running []any            `json:"running"`
}

// call makes a call to the runner, which it must carry out.
func call(t *testing.T, r *hostrunner.Runner, name, operation, body string) (answer reply) {
	t.Helper()
	req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/-/"+operation, strings.NewReader(body))
	req.Header.Set("X-Cowslipbend-Expect-Instance", name)
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, req)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &answer))
	return answer
}

// TestForbidStarts guards against a check that overlooks starts in a domain that is
// out of service, or blames starts that are allowed.
func TestForbidStarts(t *testing.T) {
	now := timer.Host{}.Now()
	for _, test := range []struct {
		name   string
		before func(*hostrunner.Pool)
		faults int
	}{
		{"a start after the bound is a fault", func(p *hostrunner.Pool) { p.ForbidStarts("z1", now) }, 1},
		{"a start before the bound is none", func(p *hostrunner.Pool) { p.ForbidStarts("z1", now.Add(cowslipbend.Day)) }, 0},
		{"a start in another domain is none", func(p *hostrunner.Pool) { p.ForbidStarts("z2", now) }, 0},
		{"a start after the request is removed is none", func(p *hostrunner.Pool) { p.ForbidStarts("z1", now); p.AllowStarts("z1") }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := hostrunner.NewPool()
			test.before(pool)
			runner := hostrunner.New(pool, "i-0", cowslipbend.Second)
			runner.SetDomain("z1")
			startTask(t, runner, "i-0", "job.0.0.0")
			assert.Equal(t, len(pool.Faults()), test.faults, "%s", pool.Faults())
		})
	}
}

// TestAllowCopies guards against a check that accepts a second run where no copy is
// allowed, a third run, or two runs on one runner.
func TestAllowCopies(t *testing.T) {
	for _, test := range []struct {
		name    string
		task    string
		runners int
		faults  int
	}{
		{"two runs of a step that allows copies are none", "job.0.0.0", 2, 0},
		{"a third run is a fault", "job.0.0.0", 3, 1},
		{"two runs of another step are a fault", "job.0.1.0", 2, 1},
		{"two runs of another job are a fault", "other.0.0.0", 2, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := hostrunner.NewPool()
			pool.AllowCopies("job", 0)
			for i := range test.runners {
				name := fmt.Sprintf("i-%d", i)
				startTask(t, hostrunner.New(pool, name, cowslipbend.Day), name, test.task)
			}
			assert.Equal(t, len(pool.Faults()), test.faults, "%s", pool.Faults())
		})
	}
	t.Run("a second run on the same runner is a fault", func(t *testing.T) {
		pool := hostrunner.NewPool()
		pool.AllowCopies("job", 0)
		for range 2 { // Both runners have the name, so that the run numbers do not matter.
			startTask(t, hostrunner.New(pool, "i-0", cowslipbend.Day), "i-0", "job.0.0.0")
		}
		assert.Equal(t, len(pool.Faults()), 1)
	})
}

// TestStartAfterEnd guards against a check that overlooks a start after an end as done that
// is acknowledged before or after that, or blames starts that are allowed.
func TestStartAfterEnd(t *testing.T) {
	for _, test := range []struct {
		name       string
		ackFirst   bool
		copies     bool
		contact    bool
		pause      time.Duration
		leaseSpan  cowslipbend.Span
		wantFaults int
	}{
		{"a start after an acknowledged end is a fault", true, false, false, 0, cowslipbend.Minute, 1},
		{"a start before the end is acknowledged is a fault then", false, false, false, 0, cowslipbend.Minute, 1},
		{"a copy just after an acknowledged end is none", true, true, true, 0, cowslipbend.Minute, 0},
		{"a copy before the end is acknowledged is none", false, true, true, 0, cowslipbend.Minute, 0},
		{"a copy a second after an acknowledged end is a fault", true, true, true, 1100 * time.Millisecond, cowslipbend.Minute, 1},
		{"a copy of an agent out of contact is none", true, true, false, 1100 * time.Millisecond, cowslipbend.Minute, 0},
		{"a start after an end of a lease that lapsed is none", false, false, false, 50 * time.Millisecond, 40, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := hostrunner.NewPool()
			if test.copies {
				pool.AllowCopies("job", 0)
			}
			first, second := hostrunner.New(pool, "i-0", 1), hostrunner.New(pool, "i-1", cowslipbend.Day)
			second.SetContact(func() bool { return test.contact })
			hold := func(acked int) {
				t.Helper()
				call(t, first, "i-0", "hold", fmt.Sprintf(`{"fencing_token":1,"ack_seq":%d,"deadline_ms":0}`, acked))
			}
			startTaskUntil(t, first, "i-0", "job.0.0.0", timer.Host{}.Now().Add(test.leaseSpan))
			time.Sleep(10 * time.Millisecond)
			hold(0)
			if test.ackFirst {
				hold(1)
			}
			time.Sleep(test.pause)
			startTask(t, second, "i-1", "job.0.0.0")
			hold(1)
			assert.Equal(t, len(pool.Faults()), test.wantFaults, "%s", pool.Faults())
		})
	}
}

// TestFaultsNameRuns guards against a fault from which it can't be told which runs of a task
// were there at once, since when, and which of them a late call began.
func TestFaultsNameRuns(t *testing.T) {
	const (
		clock = `(\d\d:\d\d:\d\d\.\d{3})`
		late  = ` \(carried out 1m0(\.\d+)?s after its arrival\)`
	)
	timeOfDay := func() string { return time.Now().UTC().Format("15:04:05.000") } // As in the logs.
	start := func(r *hostrunner.Runner, name string, number int, late bool) {
		ctx := t.Context()
		if late {
			ctx = hostrunner.WithArrival(ctx, timer.Host{}.Now().Add(-cowslipbend.Minute))
		}
		body := fmt.Sprintf(`{"task":"job.0.0.0","run":%d,"fencing_token":1,"deadline_ms":%d}`, number, timer.Host{}.Now().Add(cowslipbend.Minute))
		req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/-/run-start", strings.NewReader(body))
		req.Header.Set("X-Cowslipbend-Expect-Instance", name)
		r.Handler().ServeHTTP(httptest.NewRecorder(), req)
	}
	for _, test := range []struct {
		name                  string
		firstLate, secondLate bool
		want                  string
	}{
		{
			"both started in time", false, false,
			`^job.0.0.0 run 7 on i-1@\d+ starts at ` + clock + ` while run 4 on i-0@\d+ runs since ` + clock + "$",
		},
		{
			"the second started late", false, true,
			`^job.0.0.0 run 7 on i-1@\d+ starts at ` + clock + late + ` while run 4 on i-0@\d+ runs since ` + clock + "$",
		},
		{
			"the first started late", true, false,
			`^job.0.0.0 run 7 on i-1@\d+ starts at ` + clock + ` while run 4 on i-0@\d+ runs since ` + clock + late + "$",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool, before := hostrunner.NewPool(), timeOfDay()
			start(hostrunner.New(pool, "i-0", cowslipbend.Day), "i-0", 4, test.firstLate)
			start(hostrunner.New(pool, "i-1", cowslipbend.Day), "i-1", 7, test.secondLate)
			assert.Equal(t, len(pool.Faults()), 1)
			assert.Assert(t, cmp.Regexp(test.want, pool.Faults()[0]))
			got := regexp.MustCompile(" starts at " + clock).FindStringSubmatch(pool.Faults()[0])[1]
			assert.Assert(t, before <= got && got <= timeOfDay() || timeOfDay() < before, "%s is not the time of day", got)
		})
	}
	t.Run("the end is acknowledged after the second start", func(t *testing.T) {
		pool := hostrunner.NewPool()
		first := hostrunner.New(pool, "i-0", 1)
		start(first, "i-0", 4, false)
		time.Sleep(10 * time.Millisecond)
		call(t, first, "i-0", "hold", `{"fencing_token":1}`)
		start(hostrunner.New(pool, "i-1", cowslipbend.Day), "i-1", 1, true)
		call(t, first, "i-0", "hold", `{"fencing_token":1,"ack_seq":1}`)
		assert.Equal(t, len(pool.Faults()), 1)
		assert.Assert(t, cmp.Regexp(`^job.0.0.0 run 1 on i-1@\d+ starts at `+clock+late+` after the end of run 4 on i-0@\d+ as done, which is acknowledged now$`, pool.Faults()[0]))
	})
	t.Run("a later incarnation has other runs of the same name", func(t *testing.T) {
		pool := hostrunner.NewPool()
		first, second := hostrunner.New(pool, "i-0", cowslipbend.Day), hostrunner.New(pool, "i-0", cowslipbend.Day)
		start(first, "i-0", 4, false)
		start(second, "i-0", 4, true)
		first.Crash()
		start(hostrunner.New(pool, "i-1", cowslipbend.Day), "i-1", 7, false)
		assert.Equal(t, len(pool.Faults()), 2)
		assert.Assert(t, cmp.Regexp("while run 4 on i-0@\\d+ runs since "+clock+late+"$", pool.Faults()[1]))
	})
}

// TestLease guards against a runner on which deadlines of an earlier incarnation have less
// effect than on the platform.
func TestLease(t *testing.T) {
	const maxLease = 100 * cowslipbend.Millisecond
	r := hostrunner.New(hostrunner.NewPool(), "i-0", cowslipbend.Day)
	r.StartClock()
	r.SetMaxLease(maxLease)
	t.Run("its clock begins with its start", func(t *testing.T) {
		assert.Assert(t, call(t, r, "i-0", "hold", "{}").Clock < cowslipbend.Time(cowslipbend.Minute))
	})
	t.Run("a deadline of an earlier clock gives the longest lease", func(t *testing.T) {
		startTaskUntil(t, r, "i-0", "job.0.0.0", cowslipbend.Time(cowslipbend.Day))
		assert.Equal(t, len(call(t, r, "i-0", "hold", `{"fencing_token":1}`).Running), 1)
		time.Sleep(2 * maxLease.Duration())
		assert.Equal(t, len(call(t, r, "i-0", "hold", `{"fencing_token":1}`).Running), 0)
	})
}
