package main

import (
	"net/url"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/starter"
	"cowslipbend.dev/operator"
)

// callTimeout bounds one call to an entry.
const callTimeout = 10 * cowslipbend.Second

// usageText is the description of the program in its help text.
const usageText = `Exit codes: 0 done; 1 refused or failed without effect; 2 wrong usage or
invalid input; 3 the effect is not known; 4 another change came first.`

func command() *cli.Command {
	return &cli.Command{
		Name:                  "cowslip",
		Usage:                 "check and publish sets of declarations, inspect and control jobs and workers",
		Description:           usageText,
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			c.Usage = "write a completion script for bash, zsh, fish or pwsh"
		},
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: "entry", Value: []string{"http://127.0.0.1:7001"}, Sources: starter.Env("entry"),
				Usage: "URL of an entry, repeatable; the next one is tried if one cannot be reached",
			},
			starter.String("secret", "", "secret shared by the processes of the system"),
		},
		Commands: []*cli.Command{
			checkCommand(), diffCommand(), publishCommand(), statusCommand(), jobsCommand(), submitCommand(),
			cancelCommand(), drainCommand(), undrainCommand(), domainCommand(), burnCommand(), schemaCommand(), explainCommand(), whereCommand(),
		},
	}
}

// client returns a client of the entries in the flags.
func client(c *cli.Command) (*operator.Client, error) {
	var l cowslipbend.Errors
	entries := c.StringSlice("entry")
	for _, e := range entries {
		if u, err := url.Parse(e); err != nil || u.Scheme != "http" || u.Host == "" {
			l.Add(cowslipbend.Invalid("--entry", e+" is not an http URL", "give http://IP:PORT"))
		}
	}
	if err := l.Err(); err != nil {
		return nil, err
	}
	return operator.NewAny(entries, c.String("secret"), callTimeout), nil
}

// jsonFlag returns the flag for JSON output of commands that show something.
func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "write JSON instead of a table"}
}

// poolFlag returns the flag of commands that act on one pool.
func poolFlag() cli.Flag {
	return starter.String("pool", "", "pool; may be omitted if there is only one")
}

// onlyArgument returns the argument of a command that takes exactly one.
func onlyArgument(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", cowslipbend.Invalid(c.FullName(), "needs exactly one argument "+c.ArgsUsage, "see "+c.FullName()+" --help")
	}
	return c.Args().First(), nil
}
