package jaylogger

import (
	"fmt"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
)

// TestGroups guards against a log line for each of thousands of hosts that move at once.
func TestGroups(t *testing.T) {
	is := is.New(t)
	var lines []string
	logger := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	groups := NewGroups("hosts")
	for n := range 5000 {
		groups.Add(fmt.Sprint("m", n), "moving hosts", "from", "fees", "to", "standby")
	}
	groups.Add("m0", "moving hosts", "from", "standby", "to", "fees")
	groups.Write(logger)
	groups.Write(logger)
	is.Equal(len(lines), 2)
	is.True(len(lines[0]) < 1000)
	is.Equal(lines[1], `"level"=0 "msg"="moving hosts" "from"="standby" "to"="fees" "count"=1 "hosts"="m0"`)
}
