package jaycli

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// runCommand runs a command line and returns its exit code and output.
func runCommand(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), append([]string{"jaythread"}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestExitCodes(t *testing.T) {
	badFleet := writeFile(t, "fleet.jsonc", "{\n \"pool\": []}")
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"help", []string{"--help"}, ExitGood, ""},
		{"no such command", []string{"fly"}, ExitUsage, "no such command"},
		{"no such flag", []string{"status", "--fast"}, ExitUsage, "fast"},
		{"missing argument", []string{"check"}, ExitUsage, "at least one FILE"},
		{"invalid flag value", []string{"status", "--output", "xml"}, ExitUsage, "none of"},
		{"valid files", []string{"check", "../examples/entry.jsonc", "../examples/fleet.jsonc"}, ExitGood, ""},
		{"invalid file", []string{"check", badFleet}, ExitRefused, `fleet.jsonc:2:2: unknown field "pool"`},
		{"no such file", []string{"check", "nowhere.jsonc"}, ExitRefused, "nowhere.jsonc"},
		{"unknown profile", []string{"demo", "--profile", "acme"}, ExitUsage, "none of mesob, qalam"},
		{"unreachable entry", []string{"status", "--operators", "http://127.0.0.1:1"}, ExitRefused, "does not answer"},
		{"invalid settings", []string{"serve", "--config", writeFile(t, "e.jsonc", `{"eventLoops": 0}`)}, ExitRefused, "/eventLoops"},
		{"unreachable platform", []string{"serve", "--config", writeFile(t, "e.jsonc", `{"platformUrl": "http://127.0.0.1:1"}`)}, ExitRefused, "platform does not answer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, _, errOut := runCommand(t, c.args...)
			is.Equal(code, c.code)
			is.True(strings.Contains(errOut, c.want))
			is.True(!strings.Contains(errOut, "goroutine ")) // no stack trace
		})
	}
}

func TestDemoFailsOnBrokenPromise(t *testing.T) {
	is := is.New(t)
	code, out, errOut := runCommand(t, "demo", "--for", "15s", "--break", "overlook")
	t.Logf("%s%s", out, errOut)
	is.Equal(code, ExitRefused)
	is.True(strings.Contains(errOut, "promises broken: budgetBreaches"))
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.True(strings.HasPrefix(lines[0], "callers: http://127.0.0.1:"))
	is.True(strings.HasPrefix(lines[1], "operators: http://127.0.0.1:"))
	var report map[string]any
	is.NoErr(json.Unmarshal([]byte(lines[len(lines)-1]), &report))
	is.True(report["budgetBreaches"].(float64) > 0)
}

func TestStandinPortInUse(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	code, _, errOut := runCommand(t, "standin", "--listen", listener.Addr().String())
	is.Equal(code, ExitRefused)
	is.True(strings.Contains(errOut, "address already in use"))
	is.Equal(strings.Count(errOut, "\n"), 1) // the error is one line
}

func TestExplainWithFleetFile(t *testing.T) {
	is := is.New(t)
	code, out, _ := runCommand(t, "explain", "--fleet", "../examples/fleet.jsonc", "--method", "GET", "/fees/list")
	is.Equal(code, ExitGood)
	is.True(strings.Contains(out, "does not match:"))
	is.True(strings.Contains(out, "decides:"))
}
