package jayentry

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestMetricsMatchDocumentation checks that the exported metrics and the
// operators' page list the same names.
func TestMetricsMatchDocumentation(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	withCluster(t, 2, func(w *cluster) {
		is := is.New(w.t)
		is.Equal(w.nodes[0].pay("k").status, 200)
		w.nodes[0].entry.metrics.Retried("fees")
		families, err := w.nodes[0].entry.metrics.Registry.Gather()
		is.NoErr(err)
		scraped := map[string]bool{}
		for _, f := range families {
			if strings.HasPrefix(f.GetName(), "jaythread_") {
				scraped[f.GetName()] = true
			}
		}
		for name := range scraped {
			if !strings.Contains(string(page), "`"+name+"`") {
				w.t.Errorf("%s is not on the page", name)
			}
		}
		for _, word := range strings.FieldsFunc(string(page), func(r rune) bool { return r == '`' || r == ' ' || r == ',' }) {
			if strings.HasPrefix(word, "jaythread_") && !scraped[word] {
				w.t.Errorf("%s is on the page and is not scraped", word)
			}
		}
	})
}
