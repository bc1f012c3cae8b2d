package queuer

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

func cpu(n int) cowslipbend.Resources {
	return cowslipbend.Resources{CPU: cowslipbend.Core * cowslipbend.Millicores(n)}
}

// add adds a job with one waiting task to the queue.
func add(q *Queue, id string, team cowslipbend.TeamID, urgency cowslipbend.Urgency, submittedAt cowslipbend.Time) *cowslipbend.Job {
	j := &cowslipbend.Job{ID: cowslipbend.JobID(id), Team: team, Urgency: urgency, Tasks: 1, Size: cpu(1)}
	q.Add(j, submittedAt, Item{Task: cowslipbend.MakeTaskID(j.ID, 0), WaitingSince: submittedAt, ReadyAt: submittedAt})
	return j
}

// serveOrder returns the jobs in the order in which their tasks are offered. An
// offer within the quota gets the verdict, any other one Blocked.
func serveOrder(q *Queue, wall cowslipbend.Time, verdict Verdict) []cowslipbend.JobID {
	var ids []cowslipbend.JobID
	q.Serve(wall, cpu(100), func(j *cowslipbend.Job, _ Item, quota Quota) (cowslipbend.Resources, Verdict) {
		if !quota.Allows(j.Size) {
			return cowslipbend.Resources{}, Blocked
		}
		ids = append(ids, j.ID)
		return j.Size, verdict
	})
	return ids
}

func TestTiers(t *testing.T) {
	q := New(cowslipbend.Minute)
	add(q, "spare", "a", cowslipbend.Spare, 0)
	add(q, "normal", "a", "", 1)
	add(q, "urgent", "a", cowslipbend.Urgent, 2)
	assert.DeepEqual(t, serveOrder(q, 10, Placed), []cowslipbend.JobID{"urgent", "normal", "spare"})
}

func TestAgeing(t *testing.T) {
	q := New(cowslipbend.Minute)
	add(q, "spare", "a", cowslipbend.Spare, 0)
	add(q, "normal", "a", "", 50000)
	assert.DeepEqual(t, serveOrder(q, 55000, Placed), []cowslipbend.JobID{"normal", "spare"})
	add(q, "late", "a", "", 61000)
	assert.DeepEqual(t, serveOrder(q, 65000, Placed), []cowslipbend.JobID{"normal", "spare", "late"})
}

func TestSharesAreWeighted(t *testing.T) {
	q := New(cowslipbend.Minute)
	q.Declare([]cowslipbend.Team{{Name: "a", Share: 2}, {Name: "b"}})
	for _, id := range []string{"1", "2", "3", "4"} {
		add(q, "a"+id, "a", "", 0)
		add(q, "b"+id, "b", "", 0)
	}
	assert.DeepEqual(t, serveOrder(q, 10, Placed), []cowslipbend.JobID{"a1", "b1", "a2", "a3", "b2", "a4", "b3", "b4"})
	assert.Equal(t, q.Reserved("a"), cpu(0))
}

func TestQuota(t *testing.T) {
	q := New(cowslipbend.Minute)
	q.Declare([]cowslipbend.Team{{Name: "a", Quota: cpu(2)}})
	for _, id := range []string{"1", "2", "3"} {
		add(q, id, "a", "", 0)
	}
	assert.Equal(t, len(serveOrder(q, 10, Placed)), 2)
	q.Charge("a", cpu(1))
	assert.Equal(t, len(serveOrder(q, 10, Placed)), 1)
	q.Refund("a", cpu(1))
	assert.Equal(t, len(serveOrder(q, 10, Placed)), 2)
}

func TestBackoffAndRemoval(t *testing.T) {
	q := New(cowslipbend.Minute)
	j := &cowslipbend.Job{ID: "a", Team: "a", Tasks: 2, Size: cpu(1)}
	first, second := Item{Task: "a/0", WaitingSince: 5, ReadyAt: 1000}, Item{Task: "a/1", WaitingSince: 6, ReadyAt: 6}
	q.Add(j, 0, first)
	q.Add(j, 0, second)
	assert.Equal(t, len(serveOrder(q, 10, Placed)), 1)
	assert.Equal(t, len(serveOrder(q, 1000, Placed)), 2)
	assert.Equal(t, len(serveOrder(q, 1000, Blocked)), 1)
	assert.Equal(t, len(serveOrder(q, 1000, Skipped)), 2)
	assert.Equal(t, len(serveOrder(q, 1000, Stopped)), 1)
	q.Remove(j, first)
	assert.Equal(t, q.Waiting("a"), 1)
	q.Remove(j, second)
	assert.Equal(t, q.Len(), 0)
	assert.Equal(t, len(serveOrder(q, 1000, Placed)), 0)
}
