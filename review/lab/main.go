// Lab starts the project's programs as a small deployment on loopback addresses, with
// stand-ins for the store, the runners and the clients, plays one case and checks one
// rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 105 * time.Second

// trouble is false if the case is to be played without its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// scenario is a case. Its function returns an error if the case could not run.
type scenario struct {
	options options
	play    func(*lab) error
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	bin := flag.String("bin", "target", "directory with the programs")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	s, ok := scenarios[*name]
	if !ok {
		fmt.Println("no case", *name)
		return 2
	}
	l, err := newLab(*bin, *record, s.options)
	if l != nil && l.world != nil {
		defer l.close()
	}
	if err != nil {
		fmt.Println("cannot start:", err)
		return 2
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan error, 1)
	var plays sync.WaitGroup // Not waited for: a case that takes too long goes on until the process ends.
	plays.Go(func() {
		if !l.ready() {
			result <- fmt.Errorf("the system does not run a first job")
			return
		}
		result <- s.play(l)
	})
	select {
	case err = <-result:
	case <-time.After(maxTime):
		err = fmt.Errorf("not finished within %s", maxTime)
	case <-stop:
		err = fmt.Errorf("stopped by a signal")
	}
	if err != nil {
		l.world.note("case", "could not run: %v", err)
		fmt.Println("case could not run:", err)
		return 2
	}
	if broken := l.world.broken(); len(broken) > 0 {
		fmt.Println("broken", len(broken), "times, first:", broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}
