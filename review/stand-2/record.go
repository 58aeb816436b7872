package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what is sent, answered and run to a file, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// add writes a line, and returns the time that it names.
func (r *record) add(format string, args ...any) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", now.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
	return now
}
