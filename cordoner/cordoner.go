package cordoner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/hashicorp/go-hclog"

	"cowslipbend.dev"
)

// Source tells which rows take a domain out of service.
type Source struct {
	// Prefix is that of the keys of the rows. The rest of a key is the domain.
	Prefix string
	// Check returns why the value of a row is malformed, or nil. A malformed
	// value does not make the request void.
	Check func(value []byte) error
}

// Request is the request that a domain be out of service.
type Request struct {
	Domain cowslipbend.Domain
	// Version is that of the row.
	Version int64
	// Since is when this process learnt of the row.
	Since cowslipbend.Time
}

// Cordoner holds the requests. It is safe for concurrent use. A nil Cordoner has
// none.
type Cordoner struct {
	source Source
	log    hclog.Logger

	mu       sync.Mutex
	requests map[cowslipbend.Domain]Request
	// askedAt is when the newest read began whose answer was applied, and reads
	// counts the answers.
	askedAt cowslipbend.Time
	reads   int64
	// completeThrough is the version through which all changes are known, zero before
	// the first read of the whole table.
	completeThrough int64
	// malformed counts the rows with an empty domain or a malformed value.
	// nameless is the version of the last one with an empty domain.
	malformed int64
	nameless  int64
}

// New returns a cordoner without requests, whose knowledge is as old as now.
func New(s Source, now cowslipbend.Time, log hclog.Logger) *Cordoner {
	return &Cordoner{source: s, log: log, requests: map[cowslipbend.Domain]Request{}, askedAt: now}
}

// Prefix returns the prefix of the keys of the rows.
func (c *Cordoner) Prefix() string { return c.source.Prefix }

// ApplyChanges applies the answer to a read of the table that began at askedAt. If
// whole is set, the rows are all that the table has, so that a domain without a
// row is back in service. Rows with other keys are ignored.
//
// The age of the knowledge counts from the beginning of the read: a process that
// was suspended may find an old answer when it wakes up.
func (c *Cordoner) ApplyChanges(changes *cowslipbend.Changes, whole bool, askedAt, now cowslipbend.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if whole {
		c.removeAbsent(changes.Rows, changes.Version, now)
	}
	if whole || c.completeThrough > 0 {
		c.completeThrough = max(c.completeThrough, changes.Version)
	}
	for i := range changes.Rows {
		c.put(&changes.Rows[i], askedAt, now)
	}
	for _, key := range changes.Gone {
		if domain, ok := strings.CutPrefix(key, c.source.Prefix); ok {
			c.remove(cowslipbend.Domain(domain), changes.Version, now)
		}
	}
	c.recordRead(askedAt)
}

// Ticket identifies a direct read of the rows. Reads returns one before the read
// begins.
type Ticket struct {
	askedAt cowslipbend.Time
	reads   int64
}

// BeginRead returns the ticket of a direct read that begins now.
func (c *Cordoner) BeginRead(now cowslipbend.Time) Ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Ticket{askedAt: now, reads: c.reads}
}

// ApplyRows applies the answer to a direct read of all rows with the prefix.
// Rows that it lacks are removed only if no other answer was applied since the
// read began, which may be newer; the reader of the changes then learns of the
// removal. Rows that such an answer has removed are not put back: the reader of the
// changes would not learn of their removal again.
func (c *Cordoner) ApplyRows(t Ticket, rows []cowslipbend.Row, now cowslipbend.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	overtaken := t.reads != c.reads
	if !overtaken {
		c.removeAbsent(rows, maxVersion, now)
	}
	for i := range rows {
		if overtaken && rows[i].Version <= c.completeThrough {
			continue
		}
		c.put(&rows[i], t.askedAt, now)
	}
	c.recordRead(t.askedAt)
}

// maxVersion is at least the version of every row.
const maxVersion = 1<<63 - 1

func (c *Cordoner) recordRead(askedAt cowslipbend.Time) {
	c.reads++
	c.askedAt = max(c.askedAt, askedAt)
}

// put applies a row. An older version of a known row changes nothing.
func (c *Cordoner) put(row *cowslipbend.Row, askedAt, now cowslipbend.Time) {
	name, ok := strings.CutPrefix(row.Key, c.source.Prefix)
	domain := cowslipbend.Domain(name)
	known, isOut := c.requests[domain]
	if !ok || (isOut && row.Version <= known.Version) {
		return
	}
	if domain == "" {
		if row.Version == c.nameless {
			return // The table was read again.
		}
		c.nameless = row.Version
		c.recordMalformed(row, "ignored", cowslipbend.Invalid("domain", "is empty", "name the domain in the key"))
		return
	}
	if err := c.source.Check(row.Value); err != nil {
		c.recordMalformed(row, "domain counts as out of service", err)
	}
	if isOut {
		known.Version = row.Version
		c.requests[domain] = known
		return
	}
	c.requests[domain] = Request{Domain: domain, Version: row.Version, Since: now}
	c.log.Info("failure domain is out of service", "domain", domain, "version", row.Version, "age", now.Sub(askedAt).String())
}

func (c *Cordoner) recordMalformed(row *cowslipbend.Row, effect string, err error) {
	c.malformed++
	c.log.Warn("row that takes a failure domain out of service is malformed", "row", row.Key, "version", row.Version, "effect", effect, "error", err)
}

// removeAbsent removes the requests that the rows lack and that are not newer
// than the version.
func (c *Cordoner) removeAbsent(rows []cowslipbend.Row, version int64, now cowslipbend.Time) {
	present := map[string]bool{}
	for i := range rows {
		present[rows[i].Key] = true
	}
	for domain := range maps.Clone(c.requests) {
		if !present[c.source.Prefix+string(domain)] {
			c.remove(domain, version, now)
		}
	}
}

// remove removes a request that is not newer than the version, which is that of
// the store when it had no such row.
func (c *Cordoner) remove(domain cowslipbend.Domain, version int64, now cowslipbend.Time) {
	r, ok := c.requests[domain]
	if !ok || r.Version > version {
		return
	}
	delete(c.requests, domain)
	c.log.Info("failure domain is back in service", "domain", domain, "version", r.Version, "out", now.Sub(r.Since).String())
}

// Requests returns the requests in the order of their domains.
func (c *Cordoner) Requests() []Request {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.SortedFunc(maps.Values(c.requests), func(a, b Request) int { return cmp.Compare(a.Domain, b.Domain) })
}

// Has reports whether the domain is out of service.
func (c *Cordoner) Has(domain cowslipbend.Domain) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.requests[domain]
	return ok
}

// AskedAt returns when the newest read began whose answer is known.
func (c *Cordoner) AskedAt() cowslipbend.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.askedAt
}

// Reads returns how many answers to reads were applied.
func (c *Cordoner) Reads() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads
}

// Malformed returns how many malformed rows were read.
func (c *Cordoner) Malformed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.malformed
}
