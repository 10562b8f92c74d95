package slopes

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

// clockTick is the unit of CPU times in /proc, which is fixed for user space on Linux.
const clockTick = 10 * time.Millisecond

// usage is the resource usage of a process, or the sum over several.
type usage struct {
	cpu time.Duration
	// residentBytes is the resident memory.
	residentBytes float64
	// ioBytes is the number of bytes read and written in total, including sockets and log lines.
	ioBytes float64
}

// usageOf reads the resource usage of a process that this program has started.
func usageOf(process *process.Process) (usage, error) {
	folder := fmt.Sprintf("/proc/%d/", process.ID())
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return usage{}, err
	}
	// The process name in parentheses can contain spaces, so the fields are counted from its end.
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	if len(fields) < 13 {
		return usage{}, fmt.Errorf("%sstat: got %d fields after the process name, need at least 13", folder, len(fields))
	}
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		return usage{}, err
	}
	system, err := strconv.Atoi(fields[12])
	if err != nil {
		return usage{}, err
	}
	resident, err := readField(folder+"status", "VmRSS")
	if err != nil {
		return usage{}, err
	}
	read, err := readField(folder+"io", "rchar")
	if err != nil {
		return usage{}, err
	}
	written, err := readField(folder+"io", "wchar")
	return usage{cpu: time.Duration(user+system) * clockTick, residentBytes: resident * 1024, ioBytes: read + written}, err
}

// readField returns the number on the line "name:" of a file in /proc.
func readField(path, name string) (float64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+":"); found {
			return strconv.ParseFloat(strings.Fields(value)[0], 64)
		}
	}
	return 0, fmt.Errorf("%s has no line with the field %s", path, name)
}

// totalUsage returns the sum of the resource usage of processes.
func totalUsage(processes []*process.Process) (usage, error) {
	var total usage
	for _, process := range processes {
		used, err := usageOf(process)
		if err != nil {
			return total, err
		}
		total = usage{cpu: total.cpu + used.cpu, residentBytes: total.residentBytes + used.residentBytes, ioBytes: total.ioBytes + used.ioBytes}
	}
	return total, nil
}
