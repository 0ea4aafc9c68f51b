package jaywitness

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func names(n int) []string {
	entries := make([]string, n)
	for i := range entries {
		entries[i] = fmt.Sprint("e", i)
	}
	return entries
}

func TestChosen(t *testing.T) {
	t.Run("all entries of a small system", func(t *testing.T) {
		is.New(t).Equal(Chosen("seats", names(9)), names(9))
	})
	t.Run("the same number of a large one, whoever asks", func(t *testing.T) {
		is := is.New(t)
		for _, n := range []int{17, 583, 1166, 5627} {
			entries := names(n)
			chosen := Chosen("seats", entries)
			slices.Reverse(entries)
			is.Equal(len(chosen), perPool)
			is.Equal(Chosen("seats", entries), chosen)
		}
	})
	t.Run("the loss of an entry replaces one at most", func(t *testing.T) {
		is := is.New(t)
		entries := names(583)
		before := Chosen("seats", entries)
		for lost := range entries {
			after := Chosen("seats", slices.Concat(entries[:lost], entries[lost+1:]))
			kept := 0
			for _, name := range after {
				if slices.Contains(before, name) {
					kept++
				}
			}
			is.True(kept >= perPool-1)
		}
	})
	t.Run("pools have different ones", func(t *testing.T) {
		is := is.New(t)
		is.True(!slices.Equal(Chosen("seats", names(583)), Chosen("fees", names(583))))
	})
}

// TestChoices guards against a choice among all entries for each query of a caller.
func TestChoices(t *testing.T) {
	is := is.New(t)
	var choices Choices
	made := 0
	entries := func() []string { made++; return names(583) }
	for range 100 {
		choices.Of("seats", 7, entries)
		choices.Of("fees", 7, entries)
	}
	is.Equal(made, 2)
	is.Equal(choices.Of("seats", 8, entries), Chosen("seats", names(583)))
	is.Equal(made, 3)
}
