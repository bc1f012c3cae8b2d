package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

func init() {
	cases["entries"] = playEntries
	cases["load"] = playLoad
}

// Limits of the rule LOST for tasks that last: maxIdle after its last run, a task may have
// nothing running for less than idleSpan, if that and calmSpan before are calm.
const (
	maxIdle  = 6 * time.Second
	idleSpan = 3 * time.Second
	calmSpan = 4 * time.Second
)

// watch follows the tasks of a job that lasts, and finds those that break the rule.
type watch struct {
	mu      sync.Mutex
	job     string
	tasks   int
	calmAt  time.Time // when the last disruption ended; zero while one goes on
	idleOf  map[int]time.Duration
	worst   time.Duration
	stopped chan struct{}
}

// startWatch hands in a job whose tasks last, and waits until all are at work.
func (b *bed) startWatch(tasks int) (*watch, error) {
	w := &watch{job: newID(), tasks: tasks, calmAt: time.Now(), idleOf: map[int]time.Duration{}, stopped: make(chan struct{})}
	if !b.submit(w.job, job("lasts", tasks, `,"cpu":1000,"mem_mb":1000,"estimate_ms":400,"perpetual":true,"image":"w","target_ms":250`)) {
		return nil, fmt.Errorf("job that lasts was not accepted")
	}
	return w, b.await(10*time.Second, func() bool {
		b.ledger.mu.Lock()
		defer b.ledger.mu.Unlock()
		for i := range tasks {
			if b.ledger.running[w.task(i)] == 0 {
				return false
			}
		}
		return true
	}, "start of all tasks that last")
}

func (w *watch) task(i int) string { return fmt.Sprintf("%s.0.0.%d", w.job, i) }

// follow checks the tasks every 50 ms until stop is called.
func (w *watch) follow(l *ledger) {
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(50 * time.Millisecond):
		}
		now := time.Now()
		l.mu.Lock()
		w.mu.Lock()
		for i := range w.tasks {
			name := w.task(i)
			if l.running[name] > 0 || l.endedAt[name].IsZero() {
				continue
			}
			w.worst = max(w.worst, now.Sub(l.endedAt[name]))
			from := l.endedAt[name].Add(maxIdle)
			if !w.calmAt.IsZero() && w.calmAt.Add(calmSpan).After(from) {
				from = w.calmAt.Add(calmSpan)
			}
			if !w.calmAt.IsZero() && now.Sub(from) > w.idleOf[i] {
				w.idleOf[i] = now.Sub(from)
			}
		}
		w.mu.Unlock()
		l.mu.Unlock()
	}
}

func (w *watch) setCalm(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calmAt = at
}

// broken returns what breaks the rule.
func (w *watch) broken(b *bed) (broken []string) {
	close(w.stopped)
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, span := range w.idleOf {
		if span > idleSpan {
			count++
		}
	}
	b.record.say("longest time without a run of a task that lasts: %.1f s", w.worst.Seconds())
	if count > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d tasks that last have had nothing running for over 3 calm seconds, from 6 s after their last run; %.1f s in all", count, w.tasks, w.worst.Seconds()))
	}
	return broken
}

// owner returns the index of the entry that last wrote to the store under a condition.
func (b *bed) owner() int {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	for _, row := range b.store.rows {
		var head struct{ URL string }
		if row.Table != "entry" || row.Key != "~owner" || json.Unmarshal(*row.Value, &head) != nil {
			continue
		}
		for i, front := range b.fronts {
			if head.URL == fmt.Sprintf("http://%s:%d", front[:len(front)-len(fmt.Sprint(portFront))-1], portInternal) {
				return i
			}
		}
	}
	return -1
}

// killOwner kills the process of the owner and starts it again after a second.
func (b *bed) killOwner(w *watch) error {
	i := b.owner()
	if i < 0 {
		return fmt.Errorf("owner is not known")
	}
	w.setCalm(time.Time{})
	b.record.say("process %s, which wrote last under a condition, is killed", b.entries[i].name)
	b.entries[i].kill()
	time.Sleep(time.Second)
	err := b.entries[i].start()
	w.setCalm(time.Now())
	b.record.say("it is started again")
	return err
}

// replacedEntries is the number of machines that are replaced, one after the other.
const replacedEntries = 98

// playEntries replaces the machine of an entry for good, again and again, each by one at
// another address. Then the system is calm, and the owner's process is killed once.
func playEntries(b *bed, trouble bool) (broken []string, err error) {
	if err := b.startFleet(3, 6); err != nil {
		return nil, err
	}
	w, err := b.startWatch(6)
	if err != nil {
		return nil, err
	}
	group.Go(func() { w.follow(b.ledger) })
	for n := range replacedEntries {
		if !trouble || os.Getenv("TROUBLE") == "kill" {
			break
		}
		w.setCalm(time.Time{})
		if err := b.replaceEntry(n + 1); err != nil {
			return nil, err
		}
		w.setCalm(time.Now())
	}
	b.record.say("calm from here on")
	time.Sleep(8 * time.Second)
	if trouble {
		if err := b.killOwner(w); err != nil {
			return nil, err
		}
	}
	time.Sleep(30 * time.Second)
	return w.broken(b), nil
}

// replaceEntry replaces the first entry's machine by the one with the number.
func (b *bed) replaceEntry(n int) error {
	b.entries[0].kill()
	time.Sleep(200 * time.Millisecond)
	node, ip := fmt.Sprintf("front-z-a-%d", n+1), b.ip(5, n)
	p, err := b.startEntry(node, ip, "z-a", b.storeAddr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.entries[0], b.fronts[0] = p, fmt.Sprintf("%s:%d", ip, portFront)
	b.mu.Unlock()
	err = b.await(5*time.Second, func() bool {
		b.store.mu.Lock()
		defer b.store.mu.Unlock()
		for _, row := range b.store.rows {
			if row.Table == "entry" && row.Key == node {
				return true
			}
		}
		return false
	}, "row of the new entry")
	time.Sleep(200 * time.Millisecond)
	return err
}

// playLoad has clients hand in jobs with long specs, and then kills the owner's process. The
// links of the entries have the bandwidth of the deployment.
func playLoad(b *bed, trouble bool) (broken []string, err error) {
	b.linkMbps, b.memoryMB, b.narrow = 10, 184, true
	if err := b.startFleet(3, 6); err != nil {
		return nil, err
	}
	w, err := b.startWatch(6)
	if err != nil {
		return nil, err
	}
	group.Go(func() { w.follow(b.ledger) })
	for _, r := range b.runners {
		r.quiet = true
	}
	text := slices.Repeat([]byte("x"), 3990)
	var workers sync.WaitGroup
	accepted := make([]int, loadClients)
	for i := range accepted {
		workers.Go(func() {
			for end := time.Now().Add(loadTime); time.Now().Before(end); {
				began := time.Now()
				if b.submit(newID(), job("ms=100 |"+string(text), 1, `,"cpu":200,"mem_mb":64,"estimate_ms":100`)) {
					accepted[i]++
				}
				time.Sleep(time.Until(began.Add(loadClients * time.Second / loadRate)))
			}
		})
	}
	workers.Wait()
	total := 0
	for _, n := range accepted {
		total += n
	}
	b.record.say("%d jobs accepted", total)
	time.Sleep(4 * time.Second)
	if trouble {
		if err := b.killOwner(w); err != nil {
			return nil, err
		}
	}
	time.Sleep(30 * time.Second)
	return w.broken(b), nil
}

// Load of playLoad, in jobs a second.
const (
	loadRate    = 45
	loadClients = 15
	loadTime    = 70 * time.Second
)
