package jaydemo

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"jaythread/jayconfig"
)

// runDemo runs a short demo with an injected violation and returns its report.
func runDemo(t *testing.T, how string) *Report {
	t.Helper()
	report, err := Run(context.Background(), Options{Profile: Mesob(), For: 15 * time.Second, Break: how, Out: io.Discard, Logger: logr.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func TestInjectedViolationsAreReported(t *testing.T) {
	t.Run("payment runs twice", func(t *testing.T) {
		is.New(t).True(slices.Contains(runDemo(t, "runTwice").Broken(), "doubledRuns"))
	})
	t.Run("unknown violation", func(t *testing.T) {
		_, err := Run(context.Background(), Options{Profile: Mesob(), Break: "everything"})
		is.New(t).True(errors.Is(err, ErrUnknownViolation))
	})
}

// Guards against a demo that ends before its entries are ready: on a busy machine their start took
// longer than the time for which the demo was to run.
func TestTimeBeginsWhenEntriesAreReady(t *testing.T) {
	_, err := Run(context.Background(), Options{Profile: Mesob(), For: time.Millisecond, Out: io.Discard, Logger: logr.Discard()})
	is.New(t).NoErr(err)
}

func TestProfiles(t *testing.T) {
	for _, name := range []string{"mesob", "qalam"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := ProfileNamed(name)
			is.NoErr(err)
			is.Equal(len(p.Workers()), 50)
			_, err = jayconfig.Parse(name, []byte(p.Document()))
			is.NoErr(err)
			racks := map[string]int{}
			for _, w := range p.Workers() {
				racks[w.DataCenter+"/"+w.Rack]++
			}
			for rack, n := range racks {
				if n > p.RackSize {
					t.Errorf("rack %s holds %d", rack, n)
				}
			}
		})
	}
}
