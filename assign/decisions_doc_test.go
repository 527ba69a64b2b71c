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

// The columns of its tables: question, functions that decide, functions that collect the inputs, inputs, constants, what shows
// it.
const (
	decisionColumns = 6
	decidedBy       = 1
	collectedBy     = 2
)

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
		object := packages.lookUp(match[1], match[2])
		if object == nil {
			t.Errorf("got %s in the document, want a declared name", name)
		}
		if c, ok := object.(*types.Const); ok {
			checkConstant(t, name, c, value)
		}
	}
}

// declarationOrFile finds each `package.Identifier` and each (file.go) of a cell.
var declarationOrFile = regexp.MustCompile("`([a-z]+)\\.([A-Za-z][\\w.]*)`|\\(([\\w/]+\\.go)\\)")

// TestDecisionsDocNamesFiles checks that each function of the index that decides or collects inputs is declared in the file
// that stands behind it.
func TestDecisionsDocNamesFiles(t *testing.T) {
	packages := parseAssignPackages(t)
	for _, cells := range decisionRows(t) {
		for _, cell := range []string{cells[decidedBy], cells[collectedBy]} {
			checkFiles(t, packages, cells[0], cell)
		}
	}
}

// checkFiles checks the files of one cell. A file stands behind the functions that it declares.
func checkFiles(t *testing.T, packages *assignPackages, question, cell string) {
	t.Helper()
	var pending []types.Object
	files := 0
	for _, match := range declarationOrFile.FindAllStringSubmatch(cell, -1) {
		packageName, identifier, file := match[1], match[2], match[3]
		if file == "" {
			pending = append(pending, packages.lookUp(packageName, identifier))
			continue
		}
		files++
		if _, err := os.Stat(filepath.Join("..", file)); err != nil {
			t.Errorf("%s: got file %s, want one that exists: %v", question, file, err)
		}
		for _, object := range pending {
			if got := packages.fileOf(object); got != file {
				t.Errorf("%s: got file %s of %v, want %q, which declares it", question, file, object, got)
			}
		}
		pending = nil
	}
	if files == 0 || len(pending) > 0 {
		t.Errorf("%s: got %q, want a file behind each function", question, cell)
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
				if packages.byName[match[1]] == nil {
					continue
				}
				found++
				if packages.lookUp(match[1], match[2]) == nil {
					t.Errorf("got %s.%s in the document, want a declared name", match[1], match[2])
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
	for _, cells := range decisionRows(t) {
		question := cells[0]
		if questions[question] {
			t.Errorf("%s: got it twice, want it once", question)
		}
		questions[question] = true
		for i, cell := range cells {
			if cell == "" {
				t.Errorf("%s: column %d is empty", question, i)
			}
		}
	}
	if got := len(questions); got < minDecisionRows {
		t.Errorf("got %d questions, want %d or more", got, minDecisionRows)
	}
}

// decisionRows returns the cells of each row of the index that has a question.
func decisionRows(t *testing.T) (rows [][]string) {
	t.Helper()
	for line := range strings.Lines(readDoc(t, decisionsDoc)) {
		cells := strings.Split(strings.Trim(line, "| \n"), "|")
		for i, cell := range cells {
			cells[i] = strings.TrimSpace(cell)
		}
		if !strings.HasPrefix(line, "|") || !strings.HasSuffix(cells[0], "?") {
			continue
		}
		if len(cells) != decisionColumns {
			t.Errorf("%s: got %d columns, want %d", cells[0], len(cells), decisionColumns)
			continue
		}
		rows = append(rows, cells)
	}
	return rows
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

// assignPath is this package's import path.
const assignPath = "madderhollow/assign"

// assignPackages are this package and the rule packages, type-checked without test files.
type assignPackages struct {
	byName  map[string]*types.Package
	fileSet *token.FileSet
}

// parseAssignPackages type-checks this package and the rule packages.
func parseAssignPackages(t *testing.T) *assignPackages {
	t.Helper()
	directories, err := filepath.Glob("*/")
	if err != nil {
		t.Fatal(err)
	}
	packages := &assignPackages{byName: map[string]*types.Package{}, fileSet: token.NewFileSet()}
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

// lookUp finds a declaration of a package, or a field or method of a type: "Type.Field". It returns nil if there is none.
func (p *assignPackages) lookUp(packageName, identifier string) types.Object {
	declared := p.byName[packageName]
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

// fileOf returns the file that declares an object, relative to the repository's root; empty for nil.
func (p *assignPackages) fileOf(object types.Object) string {
	if object == nil {
		return ""
	}
	return path.Join("assign", filepath.ToSlash(p.fileSet.Position(object.Pos()).Filename))
}

// errNotImported is returned for packages outside assignPath: the declarations and constants of these need none.
var errNotImported = errors.New("package not imported")

// Import type-checks a package under assignPath when it is first imported.
func (p *assignPackages) Import(importPath string) (*types.Package, error) {
	name := path.Base(importPath)
	if !strings.HasPrefix(importPath, assignPath) {
		return nil, errNotImported
	}
	if checked := p.byName[name]; checked != nil {
		return checked, nil
	}
	sources, err := filepath.Glob(filepath.Join(".", strings.TrimPrefix(importPath, assignPath), "*.go"))
	if err != nil {
		return nil, fmt.Errorf("sources of %s: %w", importPath, err)
	}
	var files []*ast.File
	for _, source := range sources {
		if strings.HasSuffix(source, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(p.fileSet, source, nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, fmt.Errorf("parse: %w", err)
		}
		files = append(files, file)
	}
	config := types.Config{Importer: p, Error: func(error) {}} // errors of packages not imported
	p.byName[name], _ = config.Check(importPath, p.fileSet, files, nil)
	return p.byName[name], nil
}
