package jayverdict

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func ExampleOf() {
	refused := fmt.Errorf("seat check: %w", NewNotRun(503, "no slot", time.Second))
	fmt.Println(Of(refused))
	fmt.Println(Of(errors.New("connection reset")))
	// Output:
	// notRun
	// mayHaveRun
}

func TestParseDefaultsToMayHaveRun(t *testing.T) {
	is := is.New(t)
	for _, v := range []Verdict{NotRun, Ran, MayHaveRun} {
		is.Equal(Parse(v.String()), v)
	}
	is.Equal(Parse(""), MayHaveRun)
	is.Equal(Parse("NOTRUN"), MayHaveRun)
}
