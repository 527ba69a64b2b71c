package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// moduleRoot is the path of the root directory of the Go module.
const moduleRoot = "../.."

// testNames returns the set of the names of all tests, benchmarks and fuzz tests of the Go module.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	declaration := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		for _, match := range declaration.FindAllStringSubmatch(readFile(t, path), -1) {
			names[match[1]] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// readFile returns the content of a file. It ends the test if the file cannot be read.
func readFile(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// A page of the documentation must not name a test that does not exist, for instance after the test has been renamed.
func TestDocumentsNameExistingTests(t *testing.T) {
	mention := regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w+`)
	existingTests := testNames(t)
	for _, page := range []string{"docs/architecture.md", "docs/failures.md", "docs/on-call.md", "README.md", "CONTRIBUTING.md"} {
		for _, name := range mention.FindAllString(readFile(t, filepath.Join(moduleRoot, page)), -1) {
			if !existingTests[name] {
				t.Errorf("%s: got the test name %s, want the name of an existing test", page, name)
			}
		}
	}
}
