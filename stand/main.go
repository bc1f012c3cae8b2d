// Command stand runs stand-ins for the platform, workers and callers, and runs
// experiments on the whole system.
package main

import (
	"os"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev/internal/starter"
)

func main() { os.Exit(starter.Main(command(), os.Args)) }

func command() *cli.Command {
	return &cli.Command{
		Name:     "stand",
		Usage:    "stand-ins for the platform, workers and callers",
		Commands: []*cli.Command{tryCommand(), platformCommand(), workerCommand(), loadCommand(), measureCommand(), idleCommand(), soakCommand(), compareCommand()},
	}
}
