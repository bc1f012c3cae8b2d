package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/administrator"
	"cowslipbend.dev/operator"
)

func domainCommand() *cli.Command {
	return &cli.Command{
		Name:  "domain",
		Usage: "take a failure domain out of service, put it back, or show all",
		Commands: []*cli.Command{
			{
				Name: "out", ArgsUsage: "DOMAIN",
				Usage:       "start nothing more in a failure domain and send no requests there",
				Description: "Replicas are replaced elsewhere before they stop; batch tasks run to their end.\nAll entries follow within seconds. The command domain back reverts it.",
				Action: func(ctx context.Context, c *cli.Command) error {
					return callForDomain(ctx, c, (*operator.Client).TakeDomainOut, "failure domain %s goes out of service\n")
				},
			},
			{
				Name: "back", ArgsUsage: "DOMAIN",
				Usage: "use a failure domain again",
				Action: func(ctx context.Context, c *cli.Command) error {
					return callForDomain(ctx, c, (*operator.Client).PutDomainBack, "failure domain %s goes back in service\n")
				},
			},
			{
				Name:   "status",
				Usage:  "show the failure domains with their workers and tasks",
				Flags:  []cli.Flag{jsonFlag()},
				Action: domainStatus,
			},
		},
	}
}

// callForDomain calls the method for the failure domain in the argument and prints
// the message, a format of the domain.
func callForDomain(ctx context.Context, c *cli.Command, call func(*operator.Client, context.Context, cowslipbend.Domain) error, message string) error {
	domain, err := onlyArgument(c)
	if err != nil {
		return err
	}
	op, err := client(c)
	if err != nil {
		return err
	}
	if err := call(op, ctx, cowslipbend.Domain(domain)); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, message, domain)
	return err
}

// domainReport is a failure domain in the output of the command.
type domainReport struct {
	administrator.Domain
	Workers int `json:"workers"`
	Tasks   int `json:"tasks"`
}

func domainStatus(ctx context.Context, c *cli.Command) error {
	op, err := client(c)
	if err != nil {
		return err
	}
	domains, err := op.Domains(ctx)
	if err != nil {
		return err
	}
	reports, err := countTasks(ctx, op, domains)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, reports)
	}
	t := newTable(c.Root().Writer, "DOMAIN", "STATE", "WORKERS", "TASKS")
	for _, r := range reports {
		state := "in service"
		if r.Out {
			state = "out of service"
		}
		t.row(string(r.Domain.Domain), state, fmt.Sprint(r.Workers), fmt.Sprint(r.Tasks))
	}
	return t.flush()
}

// countTasks adds the workers and tasks of all pools to the domains. It fails if a
// pool cannot be asked, as a domain could then look empty that is not.
func countTasks(ctx context.Context, op *operator.Client, domains []administrator.Domain) ([]domainReport, error) {
	reports := make([]domainReport, len(domains))
	for i, d := range domains {
		reports[i].Domain = d
	}
	s, err := op.Status(ctx)
	if err != nil {
		return nil, err
	}
	for _, p := range s.Pools {
		workers, err := op.Workers(ctx, p.Name)
		if err != nil {
			return nil, err
		}
		for j := range workers {
			for i := range reports {
				if r := &reports[i]; r.Domain.Domain == workers[j].Domain {
					r.Workers, r.Tasks = r.Workers+1, r.Tasks+workers[j].Tasks
				}
			}
		}
	}
	return reports, nil
}
