package meter

import (
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
)

// collect sends the descriptions of a collector and closes the channel.
func collect(c prometheus.Collector, to chan<- *prometheus.Desc) <-chan struct{} {
	done := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		defer close(done)
		defer close(to)
		c.Describe(to)
		return nil
	})
	return done
}
