package journaler

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"

	"cowslipbend.dev"
)

// Times for which a pool remembers what has ended.
const (
	// KeepEnded is how long an ended job stays in the state.
	KeepEnded = cowslipbend.Hour
	// KeepIDs is how long after that its id still answers a repeated
	// submission.
	KeepIDs = 2 * cowslipbend.Day
)

// Dropped is what remains of a job that left the state.
type Dropped struct {
	// Print is the fingerprint of the job's content.
	Print string `json:"print"`
	// At is the wall time at which it was dropped.
	At cowslipbend.Time `json:"at"`
}

// fingerprint returns the hexadecimal SHA-256 of a job's content.
func fingerprint(job *cowslipbend.Job) string {
	data, err := json.Marshal(job)
	if err != nil {
		return "" // Jobs hold nothing that does not encode.
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Known reports whether a job with this id was accepted before, and whether
// its content was the same.
func (s *State) Known(job *cowslipbend.Job) (known, same bool) {
	if have, ok := s.Jobs[job.ID]; ok {
		return true, *have == *job
	}
	d, ok := s.Dropped[job.ID]
	return ok, ok && d.Print == fingerprint(job)
}

// Expired returns records that drop jobs whose tasks all ended long before
// the wall time, at most limit of them and none of those to keep.
func (s *State) Expired(wall cowslipbend.Time, keep map[cowslipbend.JobID]bool, limit int) []cowslipbend.Record {
	newest := s.newestReplicas()
	var ids []cowslipbend.JobID
	for id, job := range s.Jobs {
		if !keep[id] && newest[job.Service] != id && s.endedBefore(job, wall.Add(-KeepEnded)) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	recs := make([]cowslipbend.Record, 0, min(len(ids), limit))
	for _, id := range ids[:min(len(ids), limit)] {
		recs = append(recs, cowslipbend.Record{Kind: cowslipbend.RecDropped, JobID: id, At: wall})
	}
	return recs
}

// newestReplicas returns the replica with the highest number of each service.
// It is kept, as the numbers of later replicas go on from it.
func (s *State) newestReplicas() map[cowslipbend.ServiceID]cowslipbend.JobID {
	newest := map[cowslipbend.ServiceID]cowslipbend.JobID{}
	for id, job := range s.Jobs {
		if !job.Batch() {
			newest[job.Service] = max(newest[job.Service], id)
		}
	}
	return newest
}

func (s *State) endedBefore(job *cowslipbend.Job, before cowslipbend.Time) bool {
	for i := range job.Tasks {
		t := s.Tasks[cowslipbend.MakeTaskID(job.ID, i)]
		if !t.Phase.Ended() || t.Since > before {
			return false
		}
	}
	return true
}

// drop removes a job and keeps its fingerprint, and forgets fingerprints that
// are older than KeepIDs.
func (s *State) drop(r cowslipbend.Record) error {
	job, ok := s.Jobs[r.JobID]
	if !ok {
		return broken(r, "job "+string(r.JobID)+" is unknown")
	}
	if !s.endedBefore(job, r.At) {
		return broken(r, "job "+string(r.JobID)+" has not ended")
	}
	for i := range job.Tasks {
		delete(s.Tasks, cowslipbend.MakeTaskID(job.ID, i))
	}
	delete(s.Jobs, r.JobID)
	for id, d := range s.Dropped {
		if r.At.Sub(d.At) > KeepIDs {
			delete(s.Dropped, id)
		}
	}
	s.Dropped[r.JobID] = Dropped{Print: fingerprint(job), At: r.At}
	return nil
}
