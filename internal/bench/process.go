package bench

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Usage is the CPU time and memory of a process, from /proc.
type Usage struct {
	CPU time.Duration // user and system time
	RSS int64         // resident memory in bytes
}

// clockTick is the unit of CPU time in /proc; Linux fixes it for user space.
const clockTick = 10 * time.Millisecond

// Indices of fields in /proc/PID/stat, counted from 0 after the command name.
const (
	statUser   = 11
	statSystem = 12
	statRSS    = 21
)

// ProcessUsage returns the usage of the process with the given ID.
func ProcessUsage(pid int) (Usage, error) {
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return Usage{}, errors.Wrap(err, "process")
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	f := strings.Fields(rest)
	if len(f) <= statRSS {
		return Usage{}, errors.New("process: short stat")
	}
	user, err1 := strconv.ParseInt(f[statUser], 10, 64)
	system, err2 := strconv.ParseInt(f[statSystem], 10, 64)
	pages, err3 := strconv.ParseInt(f[statRSS], 10, 64)
	err = errors.CombineErrors(err1, errors.CombineErrors(err2, err3))
	return Usage{
		CPU: time.Duration(user+system) * clockTick,
		RSS: pages * int64(os.Getpagesize()),
	}, errors.Wrap(err, "process")
}

// pidsDir is the directory where scripts/fleet writes a file with the process ID for
// each process name.
const pidsDir = "pids"

// ReadPID returns the process ID of the named process of the plan in dir.
func ReadPID(dir, name string) (int, error) {
	raw, err := os.ReadFile(filepath.Join(dir, pidsDir, name))
	if err != nil {
		return 0, errors.Wrap(err, "process ID")
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	return pid, errors.Wrap(err, "process ID")
}
