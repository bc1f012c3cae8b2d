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
		Usage: "print CPU, memory and I/O of running processes, one line each",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "pid", Usage: "id of a process to measure, repeatable", Required: true},
			starter.Span("for", 20*cowslipbend.Second, "how long to measure"),
		},
		Action: runIdle,
	}
}

// ProcessUsage is what a process used during the measurement.
type ProcessUsage struct {
	Pid int `json:"pid"`
	// CPUPercent is the CPU time as a percentage of one core.
	CPUPercent float64 `json:"core"`
	// ResidentMB is the resident memory at the end, in MB.
	ResidentMB float64 `json:"resident"`
	// IORate is what the process read and wrote through files and sockets, in KB
	// per second. For an agent it includes the polls of its worker, so it is an
	// upper bound of the control traffic.
	IORate float64 `json:"bytes"`
}

// sample holds the counters of a process at a moment.
type sample struct {
	ticks, bytes, resident int64
}

// ticksPerSecond is the resolution of CPU times in /proc, fixed by Linux.
const ticksPerSecond = 100

func runIdle(ctx context.Context, c *cli.Command) error {
	span := cowslipbend.SpanOf(c.Duration("for"))
	if span < cowslipbend.Second {
		return cowslipbend.Invalid("--for", span.String()+" is too short", "give 1s or more")
	}
	pids := c.IntSlice("pid")
	before, err := readSamples(pids)
	if err != nil {
		return err
	}
	if !timer.Sleep(ctx, timer.Host{}, span) {
		return ctx.Err()
	}
	after, err := readSamples(pids)
	if err != nil {
		return err
	}
	seconds := span.Duration().Seconds()
	for i, pid := range pids {
		usage := ProcessUsage{
			Pid:        pid,
			CPUPercent: 100 * float64(after[i].ticks-before[i].ticks) / ticksPerSecond / seconds,
			ResidentMB: float64(after[i].resident) / float64(cowslipbend.MB),
			IORate:     float64(after[i].bytes-before[i].bytes) / float64(cowslipbend.KB) / seconds,
		}
		if err := json.NewEncoder(os.Stdout).Encode(usage); err != nil {
			return err
		}
	}
	return nil
}

func readSamples(pids []int) ([]sample, error) {
	samples := make([]sample, len(pids))
	for i, pid := range pids {
		dir := filepath.Join("/proc", strconv.Itoa(pid))
		stat, err := os.ReadFile(filepath.Join(dir, "stat"))
		if err != nil {
			return nil, cowslipbend.Failf(cowslipbend.KindMissing, err, "give the id of a running process", "process %d cannot be read from /proc", pid)
		}
		status, _ := os.ReadFile(filepath.Join(dir, "status"))
		io, _ := os.ReadFile(filepath.Join(dir, "io"))
		samples[i] = parseSample(string(stat), string(status), string(io))
	}
	return samples, nil
}

// Indices of user and system time in /proc/PID/stat, among the fields after the
// name of the process.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// parseSample parses the files stat, status and io of a process. Missing values
// count as zero.
func parseSample(stat, status, io string) sample {
	var s sample
	if i := strings.LastIndexByte(stat, ')'); i >= 0 {
		fields := strings.Fields(stat[i+1:])
		if len(fields) > systemTimeField {
			s.ticks = parseNumber(fields[userTimeField]) + parseNumber(fields[systemTimeField])
		}
	}
	s.resident = fieldValue(status, "VmRSS:") * int64(cowslipbend.KB)
	s.bytes = fieldValue(io, "rchar:") + fieldValue(io, "wchar:")
	return s
}

// fieldValue returns the number that follows the name at the start of a line,
// or 0 if there is none.
func fieldValue(text, name string) int64 {
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			if fields := strings.Fields(rest); len(fields) > 0 {
				return parseNumber(fields[0])
			}
		}
	}
	return 0
}

func parseNumber(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}
