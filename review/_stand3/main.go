// Command stand3 plays the platform, its workers and its clients on loopback around real processes of the
// project, plays a scenario, and records what was sent, answered and run.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
)

func fatal(what string, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", what, err)
	os.Exit(2)
}

// scenario plays and returns an error text if it could not.
type scenario func(w *world, trouble bool) string

var scenarios = map[string]scenario{"soak": soak}

func main() {
	if len(os.Args) < 3 {
		fatal("usage", fmt.Errorf("stand3 SCENARIO RECORD [SEED]"))
	}
	play, known := scenarios[os.Args[1]]
	if !known {
		fatal("scenario", fmt.Errorf("%s is not known", os.Args[1]))
	}
	if _, err := exec.LookPath("target/jaythread"); err != nil {
		fatal("build", err)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fatal("record", err)
	}
	seed := uint64(1)
	if len(os.Args) > 3 {
		seed, _ = strconv.ParseUint(os.Args[3], 10, 64)
	}
	dir, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		fatal("folder", err)
	}
	w := newWorld(record, seed)
	w.cloud = serve(httpFunc(w.serveCloud))
	w.advisor = serve(httpFunc(w.serveAdvisor))
	w.run()
	newEntries(w, entryCount, dir, []string{"bole", "arat-kilo", "piassa"})
	problem := play(w, os.Getenv("TROUBLE") != "0")
	w.end()
	w.mu.Lock()
	broken := len(w.broken) > 0
	for _, text := range w.broken {
		fmt.Println("broken:", text)
	}
	w.mu.Unlock()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(dir, filepath.Join(keep, filepath.Base(dir)))
	} else {
		_ = os.RemoveAll(dir)
	}
	switch {
	case problem != "" && !broken:
		fmt.Println("could not run:", problem)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
	fmt.Println("held")
}
