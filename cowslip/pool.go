package main

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/operator"
)

// declaredPools returns the names of the declared pools, of which there must be
// at least one.
func declaredPools(ctx context.Context, op *operator.Client) ([]cowslipbend.PoolID, error) {
	config, err := op.Config(ctx)
	if err != nil {
		return nil, err
	}
	var names []cowslipbend.PoolID
	for i := range config.Set.Pools {
		names = append(names, config.Set.Pools[i].Name)
	}
	if len(names) == 0 {
		return nil, cowslipbend.Fail(cowslipbend.KindMissing, "no pool is declared", "publish a set that declares a pool")
	}
	return names, nil
}

// selectPool returns the pool of the flag --pool, or the only declared one.
func selectPool(ctx context.Context, c *cli.Command, op *operator.Client) (cowslipbend.PoolID, error) {
	if name := c.String("pool"); name != "" {
		return cowslipbend.PoolID(name), nil
	}
	names, err := declaredPools(ctx, op)
	if err != nil {
		return "", err
	}
	if len(names) > 1 {
		poolNames := make([]string, len(names))
		for i, n := range names {
			poolNames[i] = string(n)
		}
		return "", cowslipbend.Invalid("--pool", "is missing and there are several pools", "name one of "+strings.Join(poolNames, ", "))
	}
	return names[0], nil
}

// poolClient returns a client and the pool that the command acts on.
func poolClient(ctx context.Context, c *cli.Command) (*operator.Client, cowslipbend.PoolID, error) {
	op, err := client(c)
	if err != nil {
		return nil, "", err
	}
	name, err := selectPool(ctx, c, op)
	return op, name, err
}
