//go:build review3

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mutex     sync.Mutex
	file      *os.File
	writer    *bufio.Writer
	startedAt time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), startedAt: time.Now()}, nil
}

// seconds returns the time since the start of the case in seconds.
func (record *record) seconds() float64 { return time.Since(record.startedAt).Seconds() }

// add writes a line with the time since the start in seconds.
func (record *record) add(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.writer, "%8.3f %s\n", record.seconds(), fmt.Sprintf(format, arguments...))
}

// say writes a line to the record and to standard output.
func (record *record) say(format string, arguments ...any) {
	record.add(format, arguments...)
	fmt.Printf("%8.3f %s\n", record.seconds(), fmt.Sprintf(format, arguments...))
}

func (record *record) close() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_ = record.writer.Flush()
	_ = record.file.Close()
}
