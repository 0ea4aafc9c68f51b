package jayconfig

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"jaythread/jaydocument"
)

// ReadPath reads a configuration from a file, or from all .json and .jsonc files of
// a directory in the order of their names. It returns the configuration and the
// document to publish. A single file is published unchanged, with its comments; the
// files of a directory are merged into one document without comments.
func ReadPath(path string) (*Configuration, []byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, oops.In("configuration").Wrap(err)
	}
	if info.IsDir() {
		return readDir(path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, oops.In("configuration").Wrap(err)
	}
	c, err := Parse(path, text)
	return c, text, err
}

// sourceFile is one file of a directory with the part of the configuration that it
// holds.
type sourceFile struct {
	document *jaydocument.Document
	config   *Configuration
}

// sourceFiles holds the files of a directory. It reports a problem of the merged
// configuration in the file and at the position of the element there.
type sourceFiles []sourceFile

// Add reports a problem with the value at a pointer of the merged configuration.
func (p sourceFiles) Add(pointer, format string, args ...any) {
	section, rest, _ := strings.Cut(strings.TrimPrefix(pointer, "/"), "/")
	number, field, _ := strings.Cut(rest, "/")
	n, err := strconv.Atoi(number)
	if err != nil {
		p[0].document.Add(pointer, format, args...)
		return
	}
	for _, one := range p {
		count := one.config.sectionLen(section)
		if n >= count {
			n -= count
			continue
		}
		local := "/" + section + "/" + strconv.Itoa(n)
		if field != "" {
			local += "/" + field
		}
		one.document.Add(local, format, args...)
		return
	}
}

func (p sourceFiles) err() error {
	var problems jaydocument.Problems
	for _, one := range p {
		if found, ok := one.document.Err().(jaydocument.Problems); ok {
			problems = append(problems, found...)
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return problems
}

func (c *Configuration) sectionLen(section string) int {
	switch section {
	case "pools":
		return len(c.Pools)
	case "teams":
		return len(c.Teams)
	case "jobs":
		return len(c.Jobs)
	case "rules":
		return len(c.Rules)
	default:
		return 0
	}
}

func readDir(dir string) (*Configuration, []byte, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json*"))
	if err != nil {
		return nil, nil, oops.In("configuration").Wrap(err)
	}
	names = slices.DeleteFunc(names, func(name string) bool {
		return filepath.Ext(name) != ".json" && filepath.Ext(name) != ".jsonc"
	})
	slices.Sort(names)
	merged := &Configuration{}
	var all sourceFiles
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, nil, oops.In("configuration").Wrap(err)
		}
		one := sourceFile{config: &Configuration{}}
		one.document, err = jaydocument.Decode(name, text, one.config)
		if err != nil {
			return nil, nil, err
		}
		all = append(all, one)
		merged.add(one.config)
	}
	if len(all) == 0 {
		return nil, nil, oops.In("configuration").Errorf("%s holds no .json or .jsonc file", dir)
	}
	merged.index()
	merged.check(all)
	if err := all.err(); err != nil {
		return nil, nil, err
	}
	document, err := json.MarshalIndent(merged, "", "  ")
	if err != nil {
		return nil, nil, oops.In("configuration").Wrap(err)
	}
	return merged, document, nil
}

func (c *Configuration) add(other *Configuration) {
	if other.TimeZone != "" {
		c.TimeZone = other.TimeZone
	}
	c.Pools = append(c.Pools, other.Pools...)
	c.Teams = append(c.Teams, other.Teams...)
	c.Jobs = append(c.Jobs, other.Jobs...)
	c.Rules = append(c.Rules, other.Rules...)
}
