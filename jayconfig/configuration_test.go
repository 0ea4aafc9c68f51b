package jayconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validConfiguration = `{
  // a comment
  "timeZone": "Africa/Addis_Ababa",
  "pools": [{"name": "seats", "instances": ["seats-*"], "minAvailable": 2}],
  "teams": [{"name": "t"}],
  "jobs": [{"name": "j", "pool": "seats", "team": "t", "replicas": 1}],
  "rules": [{"name": "r", "about": "request", "then": {"route": "seats"}}],
}`

func TestParseReportsPosition(t *testing.T) {
	cases := []struct {
		name, from, to, want string
	}{
		{"syntax error", `"teams": [`, `"teams": [[`, "fleet.jsonc:"},
		{"unknown field", `"minAvailable"`, `"minAvailble"`, `fleet.jsonc:4:57: unknown field "minAvailble"; known here: name,`},
		{"wrong type", `"minAvailable": 2`, `"minAvailable": "two"`, "fleet.jsonc:4:"},
		{"unknown pool", `"route": "seats"`, `"route": "seat"`, `fleet.jsonc:7:65: /rules/0/then/route: no pool "seat" is declared`},
		{"unknown team", `"team": "t"`, `"team": "x"`, `fleet.jsonc:6:51: /jobs/0/team`},
		{"unknown time zone", `Addis_Ababa`, `Atlantis`, "fleet.jsonc:3:15: /timeZone"},
		{"repeated field", `"about": "request"`, `"about": "request", "about": "wave"`, `field "about" stands twice`},
		{"unknown failure domain", `"minAvailable": 2`, `"survive": "town"`, "none of rack, dataCenter"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validConfiguration, c.from, c.to, 1)
			is.True(text != validConfiguration)
			_, err := Parse("fleet.jsonc", []byte(text))
			is.True(err != nil)
			t.Log(err)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
	t.Run("valid", func(t *testing.T) {
		is := is.New(t)
		c, err := Parse("fleet.jsonc", []byte(validConfiguration))
		is.NoErr(err)
		pool, ok := c.PoolOf("seats-07")
		is.True(ok)
		is.Equal(pool, "seats")
		is.Equal(c.Pools[0].Slots, 8)
	})
}

func TestReadDirReportsFile(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) {
		is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	write("1-pools.jsonc", `{"pools": [{"name": "seats", "instances": ["seats-*"]}]}`)
	write("2-rules.jsonc", `{"rules": [{"name": "a", "about": "request", "then": {"route": "seats"}}]}`)
	_, _, err := ReadPath(dir)
	is.NoErr(err)
	write("3-rules.jsonc", "{\"rules\": [\n {\"name\": \"b\", \"about\": \"request\", \"then\": {\"route\": \"nowhere\"}}]}")
	_, _, err = ReadPath(dir)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "3-rules.jsonc:2:"))
}

// TestReadDirIgnoresOtherFiles guards against backups and editors' copies that are merged into
// the configuration since their names contain ".json".
func TestReadDirIgnoresOtherFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) {
		is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	others := []string{"a.json.bak", "a.json~", "a.jsonc.orig", "a.json5", "a.jsonl", "a.txt", "json"}
	for _, name := range others {
		write(name, `{"pools": [{"name": "old", "instances": ["old-*"]}]}`)
	}
	_, _, err := ReadPath(dir)
	is.True(err != nil) // there is no configuration file
	write("a.json", `{"pools": [{"name": "seats", "instances": ["seats-*"]}]}`)
	write("b.jsonc", `{"pools": [{"name": "fees", "instances": ["fees-*"]}]} // a comment`+"\n")
	c, _, err := ReadPath(dir)
	is.NoErr(err)
	is.Equal(len(c.Pools), 2)
	is.Equal(c.Pools[0].Name, "seats")
	is.Equal(c.Pools[1].Name, "fees")
}

// FuzzConfiguration checks that no input makes the parser panic, and that an
// accepted configuration has a time zone, pools and an action for each rule, on
// which the rest of the system relies.
func FuzzConfiguration(f *testing.F) {
	f.Add([]byte(validConfiguration))
	f.Add([]byte(`{"pools":[{"name":"a","instances":["*"]}],"rules":[{"name":"x","about":"wave","then":{"pauseWave":true}}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse("fuzz", text)
		if err != nil {
			return
		}
		if c.Location() == nil || len(c.Pools) == 0 {
			t.Fatal("accepted without time zone or pools")
		}
		for _, r := range c.Rules {
			if c.actions[r.Name] == nil {
				t.Fatalf("accepted rule %q without action", r.Name)
			}
		}
	})
}
