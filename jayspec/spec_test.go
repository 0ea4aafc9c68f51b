package jayspec

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
)

func newValidJob() *Job {
	return &Job{ID: "0123456789abcdef", Text: "x", Steps: []Step{
		{Tasks: 2, Need: jaypool.Resources{ProcessorsMilli: 500}, Estimate: time.Second},
		{Tasks: 1, After: []int{0}, Estimate: 2 * time.Second, Checkpoint: true},
	}}
}

func TestCheck(t *testing.T) {
	is.New(t).NoErr(newValidJob().Check())
	cases := map[string]func(*Job){
		"ID too short":                    func(j *Job) { j.ID = "0123" },
		"ID with a non-hexadecimal digit": func(j *Job) { j.ID = "0123456789abcdeg" },
		"text too long":                   func(j *Job) { j.Text = strings.Repeat("x", MaxTextBytes+1) },
		"no steps":                        func(j *Job) { j.Steps = nil },
		"too many steps":                  func(j *Job) { j.Steps = make([]Step, MaxSteps+1) },
		"step without tasks":              func(j *Job) { j.Steps[0].Tasks = 0 },
		"too many tasks in a step":        func(j *Job) { j.Steps[0].Tasks = MaxTasks + 1 },
		"too many tasks in all steps":     func(j *Job) { j.Steps[0].Tasks = MaxTasks },
		"dependency on itself":            func(j *Job) { j.Steps[0].After = []int{0} },
		"dependency on a later step":      func(j *Job) { j.Steps[0].After = []int{1} },
		"dependency on a negative step":   func(j *Job) { j.Steps[1].After = []int{-1} },
		"negative need":                   func(j *Job) { j.Steps[0].Need.MemoryMegabytes = -1 },
		"too many occurrences":            func(j *Job) { j.Schedule.Occurrences = MaxOccurrences + 1 },
		"negative interval":               func(j *Job) { j.Schedule.Interval = -1 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			job := newValidJob()
			change(job)
			is.New(t).True(errors.Is(job.Check(), ErrInvalid))
		})
	}
}

func TestLongestChain(t *testing.T) {
	is := is.New(t)
	job := &Job{Steps: []Step{{}, {}, {After: []int{0, 1}}, {After: []int{0}}}}
	takes := []time.Duration{1, 5, 2, 3}
	is.Equal(job.LongestChain(func(n int) time.Duration { return takes[n] }), time.Duration(7))
}

func TestWork(t *testing.T) {
	is.New(t).Equal(newValidJob().Work(), 1.0)
}

func ExampleJob_Summary() {
	fmt.Println(newValidJob().Summary())
	// Output: 2x500m,0MB,1s 1x0m,0MB,2s>0,checkpoint
}
