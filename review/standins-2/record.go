package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// maxTail is the number of lines of a crash that go into the record.
const maxTail = 12

// tail writes the first lines of the last crash in a log, without paths.
func (r *record) tail(path string) {
	file, err := os.Open(path)
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	var lines []string
	scanner := bufio.NewScanner(file)
	scanner.Buffer(make([]byte, 1<<20), 1<<20)
	for scanner.Scan() {
		text := scanner.Text()
		if strings.HasPrefix(text, "panic:") || strings.HasPrefix(text, "fatal error:") || strings.HasPrefix(text, "runtime:") {
			lines = nil
		}
		if strings.HasPrefix(text, "{") || strings.HasPrefix(text, "\t") {
			continue
		}
		lines = append(lines, text)
	}
	for _, text := range lines[:min(len(lines), maxTail)] {
		if i := strings.Index(text, "("); i > 0 && strings.Contains(text, "0x") {
			text = text[:i]
		}
		r.line("    %s", text)
	}
}
