package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// figures matches comments that report a measurement: a number with a unit, a
// decimal fraction, or words of a comparison. Measurements belong in commit
// messages or docs.
var figures = regexp.MustCompile(`(?i)\b\d+(\.\d+)?\s?(ns|µs|ms|s|seconds?|kb|mb|gb|cores?|callers|jobs|days|hosts|workers|tasks)\b|\d\s?%|\b\d+\.\d+\b|\bbefore and after\b|\binstallations? each\b|\b(was|were) measured\b|\bworth\b.*\d`)

// quoted matches quoted examples of a format, which the check ignores.
var quoted = regexp.MustCompile(`"[^"]*"`)

// histories matches comments that mention a date or an issue.
var histories = regexp.MustCompile(`\b20\d\d-\d\d|\bissue \d+|#\d+`)

// TestCommentsTellNoFigures checks that comments describe the purpose of the code
// rather than measurements or its history. Comments in tests are exempt: they may
// describe the failure that the test guards against.
func TestCommentsTellNoFigures(t *testing.T) {
	for path, file := range parsed(t) {
		for _, group := range file.comments {
			text := quoted.ReplaceAllString(strings.Join(strings.Fields(group.Text()), " "), "")
			for _, pattern := range []*regexp.Regexp{figures, histories} {
				if found := pattern.FindString(text); found != "" {
					t.Errorf("%s: %q", path+":"+file.place(group), found)
				}
			}
		}
	}
}

// source is a parsed Go file.
type source struct {
	set      *token.FileSet
	comments []*ast.CommentGroup
}

// place returns the line and column of a comment.
func (s source) place(group *ast.CommentGroup) string {
	position := s.set.Position(group.Pos())
	return strings.TrimPrefix(position.String(), position.Filename+":")
}

// parsed returns the Go files that are neither tests nor generated, by path.
func parsed(t *testing.T) map[string]source {
	t.Helper()
	is := is.New(t)
	files := map[string]source{}
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != "." {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
			return nil
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		files[path] = source{set: set, comments: file.Comments}
		return nil
	})
	is.NoErr(err)
	is.True(len(files) > 0)
	return files
}
