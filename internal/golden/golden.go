// Package golden compares the output of a test with a recorded file in its testdata directory. With the environment variable
// GOLDEN_UPDATE set, it records the file again.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// updateVariable is the environment variable that makes Compare write files.
const updateVariable = "GOLDEN_UPDATE"

// filePermissions are the permissions of recorded files.
const filePermissions = 0o644

// Compare reports a test error for each line in which got differs from the file, and stops the test if the number of lines
// differs.
func Compare(tb testing.TB, name string, got []byte) {
	tb.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv(updateVariable) != "" {
		if err := os.WriteFile(path, got, filePermissions); err != nil {
			tb.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	gotLines, wantLines := bytes.Split(got, []byte("\n")), bytes.Split(want, []byte("\n"))
	if len(gotLines) != len(wantLines) {
		tb.Fatalf("%s: got %d lines, want %d", name, len(gotLines), len(wantLines))
	}
	for i := range gotLines {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			tb.Errorf("%s:%d: got %s, want %s", name, i+1, gotLines[i], wantLines[i])
		}
	}
}
