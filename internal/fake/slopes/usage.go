package slopes

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

// tick is the unit of processor time in /proc, which is fixed for user space on Linux.
const tick = 10 * time.Millisecond

// usage is what a process has used of the machine.
type usage struct {
	cpu time.Duration
	// resident is the memory in bytes.
	resident float64
	// moved is the bytes of all reads and writes, sockets and log lines alike.
	moved float64
}

// usageOf reads the use of a process that this program started.
func usageOf(process *process.Process) (usage, error) {
	folder := fmt.Sprintf("/proc/%d/", process.ID())
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return usage{}, err
	}
	// The name in parentheses may hold spaces, so fields are counted from its end.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return usage{}, fmt.Errorf("%sstat: %d fields", folder, len(fields))
	}
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		return usage{}, err
	}
	system, err := strconv.Atoi(fields[12])
	if err != nil {
		return usage{}, err
	}
	resident, err := field(folder+"status", "VmRSS")
	if err != nil {
		return usage{}, err
	}
	read, err := field(folder+"io", "rchar")
	if err != nil {
		return usage{}, err
	}
	written, err := field(folder+"io", "wchar")
	return usage{cpu: time.Duration(user+system) * tick, resident: resident * 1024, moved: read + written}, err
}

// field returns the number on the line that a name begins.
func field(path, name string) (float64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+":"); found {
			return strconv.ParseFloat(strings.Fields(value)[0], 64)
		}
	}
	return 0, fmt.Errorf("%s: no line %s", path, name)
}

// usages returns the sum over processes.
func usages(processes []*process.Process) (usage, error) {
	var total usage
	for _, process := range processes {
		used, err := usageOf(process)
		if err != nil {
			return total, err
		}
		total = usage{cpu: total.cpu + used.cpu, resident: total.resident + used.resident, moved: total.moved + used.moved}
	}
	return total, nil
}
