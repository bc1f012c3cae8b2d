package main

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/operator"
)

// pools returns the pools that are declared.
func pools(ctx context.Context, op *operator.Client) ([]cowslipbend.PoolID, error) {
	config, err := op.Config(ctx)
	if err != nil {
		return nil, err
	}
	var names []cowslipbend.PoolID
	for i := range config.Set.Pools {
		names = append(names, config.Set.Pools[i].Name)
	}
	if len(names) == 0 {
		return nil, cowslipbend.Fail(cowslipbend.KindMissing, "no pool is declared", "publish a set with one")
	}
	return names, nil
}

// pool returns the pool that the flag names, or the only one.
func pool(ctx context.Context, c *cli.Command, op *operator.Client) (cowslipbend.PoolID, error) {
	if name := c.String("pool"); name != "" {
		return cowslipbend.PoolID(name), nil
	}
	names, err := pools(ctx, op)
	if err != nil {
		return "", err
	}
	if len(names) > 1 {
		texts := make([]string, len(names))
		for i, n := range names {
			texts[i] = string(n)
		}
		return "", cowslipbend.Invalid("--pool", "is missing and there are several pools", "name one of "+strings.Join(texts, ", "))
	}
	return names[0], nil
}

// poolClient returns the client of a command about a pool, and the pool.
func poolClient(ctx context.Context, c *cli.Command) (*operator.Client, cowslipbend.PoolID, error) {
	op, err := client(c)
	if err != nil {
		return nil, "", err
	}
	name, err := pool(ctx, c, op)
	return op, name, err
}
