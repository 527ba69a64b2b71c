package assign

import (
	"errors"
	"fmt"
	"go/ast"
	"go/constant"
	"go/parser"
	"go/token"
	"go/types"
	"math"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// decisionsDoc is the index of the decisions, relative to this package.
const decisionsDoc = "../docs/decisions.md"

// minDecisionRows is how many questions the index answers at least.
const minDecisionRows = 25

// decisionColumns are the columns of its table: question, rule, inputs, constants, what shows it.
const decisionColumns = 5

// reference finds each `package.Identifier` of a document, with the value behind it if there is one.
var reference = regexp.MustCompile("`([a-z]+)\\.([A-Za-z][\\w.]*)`(?: = ([0-9.e+-]+))?")

// TestDecisionsDocNamesWhatExists checks that each `package.Identifier` of docs/decisions.md is declared in this package or
// in a rule package, and that each constant has the value that stands behind it.
func TestDecisionsDocNamesWhatExists(t *testing.T) {
	matches := reference.FindAllStringSubmatch(readDoc(t, decisionsDoc), -1)
	if len(matches) < minDecisionRows {
		t.Fatalf("got %d references, want %d or more", len(matches), minDecisionRows)
	}
	packages := parseAssignPackages(t)
	for _, match := range matches {
		name, value := match[1]+"."+match[2], match[3]
		object := lookUp(packages, match[1], match[2])
		if object == nil {
			t.Errorf("%s: not declared", name)
		}
		if c, ok := object.(*types.Const); ok {
			checkConstant(t, name, c, value)
		}
	}
}

// TestDocsNameWhatExists checks that each rule that other documents name is declared. Names with another package before
// the dot are not of the decisions.
func TestDocsNameWhatExists(t *testing.T) {
	packages := parseAssignPackages(t)
	for _, doc := range []string{"../docs/design.md", "../docs/glossary.md"} {
		t.Run(path.Base(doc), func(t *testing.T) {
			found := 0
			for _, match := range reference.FindAllStringSubmatch(readDoc(t, doc), -1) {
				if packages[match[1]] == nil {
					continue
				}
				found++
				if lookUp(packages, match[1], match[2]) == nil {
					t.Errorf("%s.%s: not declared", match[1], match[2])
				}
			}
			if found == 0 {
				t.Error("got no rule named, want some")
			}
		})
	}
}

// TestDecisionsDocQuotesLogMessages checks that each log message that the index quotes is one of this package.
func TestDecisionsDocQuotesLogMessages(t *testing.T) {
	sources, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var code strings.Builder
	for _, source := range sources {
		if !strings.HasSuffix(source, "_test.go") {
			code.WriteString(readDoc(t, source))
		}
	}
	quoted := regexp.MustCompile("\"[a-z ]+\"`").FindAllString(readDoc(t, decisionsDoc), -1)
	if len(quoted) == 0 {
		t.Fatal("got no log message, want some")
	}
	for _, message := range quoted {
		if literal := strings.TrimSuffix(message, "`"); !strings.Contains(code.String(), literal) {
			t.Errorf("got log message %s, want one of this package", literal)
		}
	}
}

func readDoc(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestDecisionsDocRows checks that the index has enough questions, each once and with all columns filled in.
func TestDecisionsDocRows(t *testing.T) {
	questions := map[string]bool{}
	for line := range strings.Lines(readDoc(t, decisionsDoc)) {
		cells := strings.Split(strings.Trim(line, "| \n"), "|")
		question := strings.TrimSpace(cells[0])
		if !strings.HasPrefix(line, "|") || !strings.HasSuffix(question, "?") {
			continue
		}
		if questions[question] {
			t.Errorf("%s: got it twice, want it once", question)
		}
		questions[question] = true
		if len(cells) != decisionColumns {
			t.Errorf("%s: got %d columns, want %d", question, len(cells), decisionColumns)
		}
		for i, cell := range cells {
			if strings.TrimSpace(cell) == "" {
				t.Errorf("%s: column %d is empty", question, i)
			}
		}
	}
	if got := len(questions); got < minDecisionRows {
		t.Errorf("got %d questions, want %d or more", got, minDecisionRows)
	}
}

// checkConstant compares a constant of the source with the value in the document.
func checkConstant(t *testing.T, name string, c *types.Const, documented string) {
	t.Helper()
	if c.Val().Kind() == constant.String {
		return
	}
	want, _ := constant.Float64Val(constant.ToFloat(c.Val()))
	got, err := strconv.ParseFloat(documented, 64)
	if err != nil || math.Abs(got-want) > 1e-9*math.Abs(want) {
		t.Errorf("%s: got value %q in the document, want %g", name, documented, want)
	}
}

// lookUp finds a declaration of a package, or a field or method of a type: "Type.Field". It returns nil if there is none.
func lookUp(packages map[string]*types.Package, packageName, identifier string) types.Object {
	declared := packages[packageName]
	if declared == nil {
		return nil
	}
	name, member, qualified := strings.Cut(identifier, ".")
	object := declared.Scope().Lookup(name)
	if object == nil || !qualified {
		return object
	}
	found, _, _ := types.LookupFieldOrMethod(object.Type(), true, declared, member)
	return found
}

// parseAssignPackages type-checks this package and the rule packages, by package name and without test files.
func parseAssignPackages(t *testing.T) map[string]*types.Package {
	t.Helper()
	directories, err := filepath.Glob("*/")
	if err != nil {
		t.Fatal(err)
	}
	packages := assignImporter{}
	for _, directory := range append(directories, ".") {
		sources, err := filepath.Glob(filepath.Join(directory, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		if len(sources) > 0 {
			if _, err := packages.Import(path.Join(assignPath, directory)); err != nil {
				t.Fatal(err)
			}
		}
	}
	return packages
}

// assignPath is this package's import path.
const assignPath = "madderhollow/assign"

// errNotImported is returned for packages outside assignPath: the declarations and constants of these need none.
var errNotImported = errors.New("package not imported")

// assignImporter type-checks the packages under assignPath when they are first imported.
type assignImporter map[string]*types.Package

func (importer assignImporter) Import(importPath string) (*types.Package, error) {
	name := path.Base(importPath)
	if !strings.HasPrefix(importPath, assignPath) {
		return nil, errNotImported
	}
	if checked := importer[name]; checked != nil {
		return checked, nil
	}
	sources, err := filepath.Glob(filepath.Join(".", strings.TrimPrefix(importPath, assignPath), "*.go"))
	if err != nil {
		return nil, fmt.Errorf("sources of %s: %w", importPath, err)
	}
	fileSet := token.NewFileSet()
	var files []*ast.File
	for _, source := range sources {
		if strings.HasSuffix(source, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(fileSet, source, nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, fmt.Errorf("parse: %w", err)
		}
		files = append(files, file)
	}
	config := types.Config{Importer: importer, Error: func(error) {}} // errors of packages not imported
	importer[name], _ = config.Check(importPath, fileSet, files, nil)
	return importer[name], nil
}
