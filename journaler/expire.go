package journaler

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"

	"cowslipbend.dev"
)

// How long a pool retains jobs that have ended.
const (
	// EndedJobRetention is how long an ended job stays in the state.
	EndedJobRetention = cowslipbend.Hour
	// JobIDRetention is how long after that its id and fingerprint are kept, so
	// that a repeated submission is recognised.
	JobIDRetention = 2 * cowslipbend.Day
)

// Dropped is what is kept of a job that was removed from the state.
type Dropped struct {
	// Fingerprint is the hash of the job's content.
	Fingerprint string `json:"print"`
	// DroppedAt is the wall time at which it was dropped.
	DroppedAt cowslipbend.Time `json:"at"`
}

// fingerprint returns the hexadecimal SHA-256 of a job's content.
func fingerprint(job *cowslipbend.Job) string {
	data, err := json.Marshal(job)
	if err != nil {
		return "" // Not reached: every field of a job can be encoded.
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// FindSubmission reports whether a job with this id was submitted before and is
// still remembered, and whether its content was the same.
func (s *State) FindSubmission(job *cowslipbend.Job) (known, same bool) {
	if existing, ok := s.Jobs[job.ID]; ok {
		return true, *existing == *job
	}
	dropped, ok := s.Dropped[job.ID]
	return ok, ok && dropped.Fingerprint == fingerprint(job)
}

// ExpiryRecords returns records that drop jobs whose tasks all ended
// EndedJobRetention before the wall time or earlier. It returns at most limit
// records, and none for a retained job or the newest replica of a service.
func (s *State) ExpiryRecords(wall cowslipbend.Time, retained map[cowslipbend.JobID]bool, limit int) []cowslipbend.Record {
	newest := s.newestReplicas()
	var ids []cowslipbend.JobID
	for id, job := range s.Jobs {
		if !retained[id] && newest[job.Service] != id && s.endedBefore(job, wall.Add(-EndedJobRetention)) {
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

// newestReplicas returns the job of the replica with the highest number of each
// service. It is retained, as the numbers of later replicas continue from it.
func (s *State) newestReplicas() map[cowslipbend.ServiceID]cowslipbend.JobID {
	newest := map[cowslipbend.ServiceID]cowslipbend.JobID{}
	for id, job := range s.Jobs {
		if !job.Batch() {
			newest[job.Service] = max(newest[job.Service], id)
		}
	}
	return newest
}

// endedBefore reports whether all tasks of a job ended at the given time or
// earlier.
func (s *State) endedBefore(job *cowslipbend.Job, before cowslipbend.Time) bool {
	for i := range job.Tasks {
		t := s.Tasks[cowslipbend.MakeTaskID(job.ID, i)]
		if !t.Phase.Ended() || t.PhaseSince > before {
			return false
		}
	}
	return true
}

// dropJob removes a job but keeps its fingerprint, and deletes fingerprints that
// are older than JobIDRetention.
func (s *State) dropJob(r cowslipbend.Record) error {
	job, ok := s.Jobs[r.JobID]
	if !ok {
		return inconsistent(r, "job "+string(r.JobID)+" is unknown")
	}
	if !s.endedBefore(job, r.At) {
		return inconsistent(r, "job "+string(r.JobID)+" has not ended")
	}
	for i := range job.Tasks {
		delete(s.Tasks, cowslipbend.MakeTaskID(job.ID, i))
	}
	delete(s.Jobs, r.JobID)
	for id, dropped := range s.Dropped {
		if r.At.Sub(dropped.DroppedAt) > JobIDRetention {
			delete(s.Dropped, id)
		}
	}
	s.Dropped[r.JobID] = Dropped{Fingerprint: fingerprint(job), DroppedAt: r.At}
	return nil
}
