package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// group runs the goroutines of the stand-ins.
var group sync.WaitGroup

// cases are the cases by name. Each returns what breaks its rule, or nothing.
var cases = map[string]func(b *bed, trouble bool) (broken []string, err error){}

func main() {
	name, bin, path := flag.String("case", "", "name of the case"), flag.String("bin", "target", "folder of the programs"), flag.String("record", "record.txt", "file to write")
	keep := flag.String("keep", "", "folder for logs; empty for a temporary one")
	flag.Parse()
	os.Exit(play(*name, *bin, *path, *keep, os.Getenv("TROUBLE") != "0"))
}

func play(name, bin, path, dir string, trouble bool) int {
	const cannot = 2
	rec, err := newRecord(path)
	if err != nil || cases[name] == nil {
		fmt.Println("case cannot be played:", name, err)
		return cannot
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "bed"); err != nil {
			return cannot
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	b := &bed{bin: bin, dir: dir, record: rec, store: newStore(rec), ledger: newLedger(), linkMbps: 1000, memoryMB: 284}
	rec.say("case %s, trouble %v", name, trouble)
	broken, err := cases[name](b, trouble)
	b.close()
	switch {
	case err != nil:
		rec.say("case could not be played: %v", err)
		return cannot
	case len(broken) > 0:
		for _, text := range broken {
			rec.say("BROKEN: %s", text)
		}
		return 1
	}
	rec.say("rule held")
	return 0
}

// listenStore opens the store's listener in a loopback network that no other run uses.
func (b *bed) listenStore() (ln net.Listener, err error) {
	for b.net = 30; b.net < 250; b.net++ {
		b.storeAddr = fmt.Sprintf("%s:%d", b.ip(0, 0), portStore)
		if ln, err = net.Listen("tcp", b.storeAddr); err == nil {
			return ln, nil
		}
	}
	return nil, err
}

// serveStore starts the store and publishes the operator's config.
func (b *bed) serveStore() error {
	ln, err := b.listenStore()
	if err != nil {
		return err
	}
	group.Go(func() { _ = http.Serve(ln, b.store.handler()) })
	b.store.put("op", "config", []byte(`{"version":1,"routes":[{"name":"q0","host":"jobs.example","path_prefix":"/run/","service":"ledger","priority":0,"target_latency_ms":1000,"max_attempts":4,"stretch":2}],`+
		`"services":[{"name":"ledger","rejects_overload":true}],"limits":{"max_body_bytes":262144}}`))
	return nil
}

// startFleet starts the store, entries and agents, and waits until all runners have a
// lease.
func (b *bed) startFleet(entries, agents int) error {
	if err := b.serveStore(); err != nil {
		return err
	}
	for i := range min(entries, 3) {
		b.seeds = append(b.seeds, fmt.Sprintf("%s:%d", b.ip(1, i), portControl))
	}
	for i := range entries {
		zone := string(rune('a' + i%3))
		storeAddr := b.storeAddr
		if b.narrow {
			storeAddr = fmt.Sprintf("%s:%d", b.ip(2, i), portStore)
			if err := newLink(storeAddr, b.storeAddr, b.linkMbps); err != nil {
				return err
			}
		}
		p, err := b.startEntry(fmt.Sprintf("front-z-%s-%d", zone, 1+i/3), b.ip(1, i), "z-"+zone, storeAddr)
		if err != nil {
			return err
		}
		b.entries = append(b.entries, p)
		b.fronts = append(b.fronts, fmt.Sprintf("%s:%d", b.ip(1, i), portFront))
	}
	for i := range agents {
		zone := string(rune('a' + i%3))
		rack := i / 3
		if b.ownRacks {
			rack = i
		}
		if _, _, err := b.startAgent(fmt.Sprintf("side-z-%s-%d", zone, 1+i/3), b.ip(10, i), "z-"+zone, fmt.Sprintf("r1-%d", rack), false); err != nil {
			return err
		}
	}
	return b.await(15*time.Second, func() bool {
		for _, r := range b.runners {
			if !r.isGranted() {
				return false
			}
		}
		return true
	}, "lease of all runners")
}

// await waits until the condition holds.
func (b *bed) await(limit time.Duration, holds func() bool, what string) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("no %s within %s", what, limit)
}
