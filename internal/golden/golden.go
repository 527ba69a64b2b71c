// Package golden compares the output of a test with a golden file, which holds the expected output, in the testdata
// directory of the test's package. If the environment variable GOLDEN_UPDATE is set, it writes the output to the
// golden file first.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// updateEnvVar is the environment variable that makes Compare write the golden files, if its value is not empty.
const updateEnvVar = "GOLDEN_UPDATE"

// goldenFileMode holds the permission bits with which golden files are created.
const goldenFileMode = 0o644

// Compare compares the output got with the golden file that has the given name, line by line. It reports a test error
// for each line that differs. If the numbers of lines differ, it stops the test instead.
func Compare(tb testing.TB, name string, got []byte) {
	tb.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv(updateEnvVar) != "" {
		if err := os.WriteFile(path, got, goldenFileMode); err != nil {
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
