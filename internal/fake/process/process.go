package process

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

const (
	// startTimeout bounds the time from the start of a process until it prints its addresses.
	startTimeout = 20 * time.Second
	// commandTimeout bounds a command that exits by itself.
	commandTimeout = 60 * time.Second
)

// Programs is the path of the folder with the built programs, "rosemaryspar" and "standin".
type Programs string

// Build builds the programs of the module into folder. The error contains the output of the compiler.
func Build(ctx context.Context, folder string) (Programs, error) {
	for _, program := range []string{"rosemaryspar", "standin"} {
		build := exec.CommandContext(ctx, "go", "build", "-o", filepath.Join(folder, program),
			"github.com/rosemaryspar/rosemaryspar/cmd/"+program)
		if output, err := build.CombinedOutput(); err != nil {
			return "", fmt.Errorf("build %s: %w: %s", program, err, output)
		}
	}
	return Programs(folder), nil
}

// Run runs a program until it exits, for at most 60 s, and returns its combined output and its exit code.
//
// A nonzero exit code is not an error. The code of a program that was killed, also by the time limit, is -1.
func (programs Programs) Run(ctx context.Context, program string, arguments ...string) (output string, code int, err error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	text, err := exec.CommandContext(ctx, filepath.Join(string(programs), program), arguments...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(text), exit.ExitCode(), nil
	}
	return string(text), 0, err
}

// Process is a running program.
type Process struct {
	// Addresses holds the addresses that the process printed, by name: "CallerAddress",
	// "OperatorAddress" and "PeerAddress" of an entry, "Address" of a stand-in.
	Addresses map[string]string

	command *exec.Cmd
	ended   chan struct{}
	lines   *rcu.Cell[[]string]
}

// Start starts a program and waits until it has printed its addresses, for at most 20 s.
func (programs Programs) Start(program string, arguments ...string) (*Process, error) {
	command := exec.Command(filepath.Join(string(programs), program), arguments...)
	reader, writer := io.Pipe()
	command.Stdout, command.Stderr = writer, writer
	// The kernel sends SIGHUP to an orphaned process group with a suspended member, and the group of the tests is orphaned
	// when the shell that started them ends.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return nil, err
	}
	process := &Process{command: command, ended: make(chan struct{}), lines: rcu.New[[]string](nil)}
	go func() {
		_ = command.Wait()
		_ = writer.Close()
		close(process.ended)
	}()
	addresses := make(chan map[string]string, 1)
	go process.readOutput(reader, addresses)
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case process.Addresses = <-addresses:
		return process, nil
	case <-process.ended:
		return nil, fmt.Errorf("%s exited before it printed its addresses; its output: %s", program, strings.Join(process.Lines(), "\n"))
	case <-timer.C:
		process.Kill()
		return nil, fmt.Errorf("%s printed no addresses within %v and was killed", program, startTimeout)
	}
}

// readOutput records the lines of a process's output and sends the first addresses that it finds.
// It reads the output to its end, because a process blocks when it writes to a pipe that nobody reads.
func (process *Process) readOutput(reader io.Reader, addresses chan<- map[string]string) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, 1<<20)
	found := false
	for scanner.Scan() {
		line := scanner.Text()
		process.lines.Update(func(lines []string) []string { return append(slices.Clip(lines), line) })
		if found {
			continue
		}
		if parsed, ok := parseAddresses(line); ok {
			addresses <- parsed
			found = true
		}
	}
	_, _ = io.Copy(io.Discard, reader)
}

// parseAddresses returns the addresses in a line of output: the line "listening on IP:port" of a
// stand-in, or the log line "serving" of an entry.
func parseAddresses(line string) (map[string]string, bool) {
	if address, ok := strings.CutPrefix(line, "listening on "); ok {
		return map[string]string{"Address": address}, true
	}
	var logged struct{ Message, CallerAddress, OperatorAddress, PeerAddress string }
	if json.Unmarshal([]byte(line), &logged) != nil || logged.Message != "serving" {
		return nil, false
	}
	return map[string]string{
		"CallerAddress":   logged.CallerAddress,
		"OperatorAddress": logged.OperatorAddress,
		"PeerAddress":     logged.PeerAddress,
	}, true
}

// Lines returns the lines that the process has printed so far, on standard output and standard error.
func (process *Process) Lines() []string { return process.lines.Load() }

// Signal sends a signal to the process, for example SIGTERM, SIGSTOP to suspend it or SIGCONT to resume it.
func (process *Process) Signal(signal syscall.Signal) error {
	return process.command.Process.Signal(signal)
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (process *Process) Kill() {
	_ = process.command.Process.Kill()
	<-process.ended
}

// ID returns the process id, for reading the resource usage in /proc.
func (process *Process) ID() int { return process.command.Process.Pid }

// Ended returns a channel that is closed when the process has exited.
func (process *Process) Ended() <-chan struct{} { return process.ended }

// Code waits until the process has exited and returns its exit code, or the error of ctx if ctx ends first.
func (process *Process) Code(ctx context.Context) (int, error) {
	select {
	case <-process.ended:
		return process.command.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}
