package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/starter"
	"cowslipbend.dev/timer"
)

func idleCommand() *cli.Command {
	return &cli.Command{
		Name:  "idle",
		Usage: "print what running processes use: one line each of processor, memory and bytes",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "pid", Usage: "process to watch, repeatable", Required: true},
			starter.Span("for", 20*cowslipbend.Second, "how long to watch"),
		},
		Action: runIdle,
	}
}

// Cost is what a process used over a time.
type Cost struct {
	Pid int `json:"pid"`
	// Core is the share of one core, in percent.
	Core float64 `json:"core"`
	// Resident is its resident memory in MB.
	Resident float64 `json:"resident"`
	// Bytes is what it read and wrote in a second through all its sockets, in
	// KB: for an agent that includes the polls of its worker, so that it is a
	// bound above the control traffic.
	Bytes float64 `json:"bytes"`
}

// sample is the counters of a process.
type sample struct {
	ticks, bytes, resident int64
}

// ticksASecond is the unit of processor time in /proc, fixed by Linux.
const ticksASecond = 100

func runIdle(ctx context.Context, c *cli.Command) error {
	span := cowslipbend.SpanOf(c.Duration("for"))
	if span < cowslipbend.Second {
		return cowslipbend.Invalid("--for", span.String()+" is too short", "give 1s or more")
	}
	pids := c.IntSlice("pid")
	before, err := readAll(pids)
	if err != nil {
		return err
	}
	if !timer.Sleep(ctx, timer.Host{}, span) {
		return ctx.Err()
	}
	after, err := readAll(pids)
	if err != nil {
		return err
	}
	seconds := span.Duration().Seconds()
	for i, pid := range pids {
		cost := Cost{
			Pid:      pid,
			Core:     100 * float64(after[i].ticks-before[i].ticks) / ticksASecond / seconds,
			Resident: float64(after[i].resident) / float64(cowslipbend.MB),
			Bytes:    float64(after[i].bytes-before[i].bytes) / float64(cowslipbend.KB) / seconds,
		}
		if err := json.NewEncoder(os.Stdout).Encode(cost); err != nil {
			return err
		}
	}
	return nil
}

func readAll(pids []int) ([]sample, error) {
	samples := make([]sample, len(pids))
	for i, pid := range pids {
		dir := filepath.Join("/proc", strconv.Itoa(pid))
		stat, err := os.ReadFile(filepath.Join(dir, "stat"))
		if err != nil {
			return nil, cowslipbend.Failf(cowslipbend.KindMissing, err, "give the id of a running process", "process %d cannot be watched", pid)
		}
		status, _ := os.ReadFile(filepath.Join(dir, "status"))
		io, _ := os.ReadFile(filepath.Join(dir, "io"))
		samples[i] = parseSample(string(stat), string(status), string(io))
	}
	return samples, nil
}

// Places of user and system time in /proc/PID/stat, counted behind the name.
const (
	userField   = 11
	systemField = 12
)

// parseSample reads the pages of a process. What is missing counts as zero.
func parseSample(stat, status, io string) sample {
	var s sample
	if i := strings.LastIndexByte(stat, ')'); i >= 0 {
		fields := strings.Fields(stat[i+1:])
		if len(fields) > systemField {
			s.ticks = number(fields[userField]) + number(fields[systemField])
		}
	}
	s.resident = value(status, "VmRSS:") * int64(cowslipbend.KB)
	s.bytes = value(io, "rchar:") + value(io, "wchar:")
	return s
}

// value returns the number behind a name at the start of a line.
func value(page, name string) int64 {
	for line := range strings.Lines(page) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			if fields := strings.Fields(rest); len(fields) > 0 {
				return number(fields[0])
			}
		}
	}
	return 0
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}
