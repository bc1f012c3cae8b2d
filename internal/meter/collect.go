package meter

import (
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
)

// describe sends the descriptions of the metrics of a collector to descs from
// another goroutine, and closes descs, then the returned channel.
func describe(c prometheus.Collector, descs chan<- *prometheus.Desc) <-chan struct{} {
	done := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		defer close(done)
		defer close(descs)
		c.Describe(descs)
		return nil
	})
	return done
}
