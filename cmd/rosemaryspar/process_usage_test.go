package main_test

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

// memory returns a field of the memory of a process in bytes, 0 after its end.
func memory(target *process.Process, field string) int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", target.ID()))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		value, isField := strings.CutPrefix(lines.Text(), field+":")
		var kilobytes int64
		if count, _ := fmt.Sscanf(value, "%d kB", &kilobytes); isField && count == 1 {
			return kilobytes << 10
		}
	}
	return 0
}

// residentMemory returns the resident memory of a process in bytes, 0 after its end.
func residentMemory(target *process.Process) int64 { return memory(target, "VmRSS") }

// peakMemory returns the peak of the resident memory of a process, in MB.
func peakMemory(t *testing.T, target *process.Process) int {
	t.Helper()
	peak := memory(target, "VmHWM")
	require.Positive(t, peak, "the process has ended")
	return int(peak >> 20)
}

// openDescriptors returns the number of open descriptors of a process, 0 after its end.
func openDescriptors(target *process.Process) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", target.ID()))
	if err != nil {
		return 0
	}
	return len(entries)
}
