package jayoptions

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDefaultsAreValid(t *testing.T) {
	is := is.New(t)
	got, err := Parse("entry.jsonc", []byte("{}"))
	is.NoErr(err)
	is.Equal(got, New())
}

func TestParseReportsPosition(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown field", `{"callerAdr": "127.0.0.1:1"}`, `entry.jsonc:1:2: unknown field "callerAdr"`},
		{"host name instead of an IP address", "{\n  \"callerAddr\": \"localhost:80\"}", "entry.jsonc:2:17: /callerAddr"},
		{"missing port", `{"peerAddr": "127.0.0.1"}`, "is not IP:PORT"},
		{"count out of range", `{"eventLoops": 0}`, "0 is outside 1 to 64"},
		{"duration without a unit", `{"queueTime": "5"}`, "entry.jsonc:1:"},
		{"duration out of range", `{"queueTime": "2h"}`, "2h0m0s is outside 1ms to 1m0s"},
		{"operator address off loopback without a token", `{"operatorAddr": "10.0.0.1:80"}`, "needs operatorToken"},
		{"peer address off loopback without TLS keys", `{"peerAddr": "10.0.0.1:80"}`, "needs peerCertFile"},
		{"incomplete TLS keys", `{"peerCertFile": "a"}`, "go together"},
		{"unknown log level", `{"logLevel": "loud"}`, "none of [debug info error]"},
		{"share out of range", `{"retryShare": 2}`, "outside 0 to 1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("entry.jsonc", []byte(c.text))
			is.True(err != nil)
			t.Log(err)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// TestSettingsReferenceIsComplete checks that docs/operators/settings.md lists each
// field of Options with its default.
func TestSettingsReferenceIsComplete(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range settingsRows("", reflect.ValueOf(*New())) {
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/operators/settings.md lacks the row %s", row)
		}
	}
}

// settingsRows returns the beginning of the page's table row for each field. Fields
// of a nested struct are named group.field.
func settingsRows(group string, defaults reflect.Value) []string {
	var all []string
	for n := range defaults.NumField() {
		name := group + defaults.Type().Field(n).Tag.Get("json")
		field := defaults.Field(n)
		if field.Kind() == reflect.Struct {
			all = append(all, settingsRows(name+".", field)...)
			continue
		}
		value := fmt.Sprint(field.Interface())
		if d, ok := field.Interface().(Duration); ok {
			value = time.Duration(d).String()
		}
		all = append(all, fmt.Sprintf("| `%s` | %s |", name, value))
	}
	return all
}

func ExampleParse() {
	_, err := Parse("entry.jsonc", []byte(`{"eventLoops": 100}`))
	fmt.Println(err)
	// Output: entry.jsonc:1:16: /eventLoops: 100 is outside 1 to 64
}
