package soaker

import (
	"context"
	"math/rand/v2"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/timer"
)

// Times for which domains are out of service and in service. The shortest time out
// leaves two seconds in which starts are forbidden.
const (
	minTimeOut      = 7 * time.Second
	maxExtraTimeOut = 3 * time.Second
	maxTimeBetween  = 3 * time.Second
)

// cycleDomains takes one or two of the failure domains out of service at once and puts
// them back, again and again until the time. All are in service when it returns.
func (f *fleet) cycleDomains(ctx context.Context, end time.Time) error {
	rnd := rand.New(rand.NewPCG(uint64(f.opts.Seed), 1<<34))
	for time.Now().Before(end) && ctx.Err() == nil {
		out := rnd.Perm(len(domains))[:1+rnd.IntN(len(domains)-1)]
		for _, n := range out {
			if err := f.takeOut(ctx, domains[n]); err != nil {
				return err
			}
		}
		sleep(ctx, minTimeOut+time.Duration(rnd.Int64N(int64(maxExtraTimeOut))))
		for _, n := range out {
			if err := f.putBack(ctx, domains[n]); err != nil {
				return err
			}
		}
		sleep(ctx, time.Duration(rnd.Int64N(int64(maxTimeBetween))))
	}
	return nil
}

func evacuationKey(domain string) string { return "op/evacuate/" + domain }

// takeOut writes the request that the domain be out of service. Starts are forbidden
// evacuationBound after the store has answered.
func (f *fleet) takeOut(ctx context.Context, domain string) error {
	_, err := f.store.Table().Commit(ctx, cowslipbend.Txn{Puts: []cowslipbend.Put{{Key: evacuationKey(domain), Value: []byte("{}")}}})
	if err != nil {
		return err
	}
	f.pool.ForbidStarts(domain, timer.Host{}.Now().Add(evacuationBound))
	f.opts.Log.Info("domain out of service", "seed", f.opts.Seed, "domain", domain)
	return nil
}

// putBack removes the request. Starts are allowed before that, as they may follow at
// once.
func (f *fleet) putBack(ctx context.Context, domain string) error {
	f.pool.AllowStarts(domain)
	_, err := f.store.Table().Commit(ctx, cowslipbend.Txn{Dels: []string{evacuationKey(domain)}})
	f.opts.Log.Info("domain back in service", "seed", f.opts.Seed, "domain", domain)
	return err
}
