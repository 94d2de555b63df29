package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// caseFunc runs one case. dir is a temporary folder.
type caseFunc func(rec *recorder, dir string, trouble bool) (broken bool, err error)

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func runCase(run caseFunc, folder string, trouble bool) int {
	file, err := os.Create(filepath.Join(folder, recordedFile))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "heatherrail-review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	rec := &recorder{file: file, start: time.Now()}
	rec.printf("trouble: %t", trouble)
	broken, err := run(rec, dir, trouble)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		rec.printf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
