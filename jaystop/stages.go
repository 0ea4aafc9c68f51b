// Package jaystop limits the time of the stages of a graceful stop.
package jaystop

import (
	"context"
	"time"

	"github.com/go-logr/logr"
)

// Stage is a part of a stop that may wait for others.
type Stage struct {
	// Name says in the log what the stage waits for.
	Name string
	Run  func()
	// Pending describes what the stage still waits for. It may be nil.
	Pending func() string
}

// Run runs stages at the same time, and returns once all have ended or the context is done. It logs
// each stage that has not ended, which goes on in the background, and reports whether all have.
func Run(ctx context.Context, logger logr.Logger, stages ...Stage) bool {
	began := time.Now()
	ended := make([]chan struct{}, len(stages))
	for n, stage := range stages {
		ended[n] = make(chan struct{})
		go func() {
			defer close(ended[n])
			stage.Run()
		}()
	}
	all := true
	for n, stage := range stages {
		if await(ctx, ended[n]) {
			continue
		}
		all = false
		pending := ""
		if stage.Pending != nil {
			pending = stage.Pending()
		}
		logger.Info("stop does not wait any longer", "for", stage.Name, "pending", pending, "waited", time.Since(began).String())
	}
	return all
}

// await reports whether a stage has ended by the end of the context.
func await(ctx context.Context, ended <-chan struct{}) bool {
	select {
	case <-ended:
		return true
	case <-ctx.Done():
	}
	select {
	case <-ended:
		return true
	default:
		return false
	}
}
