// Package golden compares what a test produces with a file in its testdata folder.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// updateVariable is the environment variable that, when set, has files written instead of compared.
const updateVariable = "GOLDEN_UPDATE"

// filePermissions are those of files written anew.
const filePermissions = 0o644

// Compare fails the test at each line in which got differs from the file.
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
		tb.Fatalf("%s: %d lines, want %d", name, len(gotLines), len(wantLines))
	}
	for i := range gotLines {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			tb.Errorf("%s:%d: got %s, want %s", name, i+1, gotLines[i], wantLines[i])
		}
	}
}
