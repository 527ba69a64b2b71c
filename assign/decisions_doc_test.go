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

// decisionsDoc is the path of the index of decisions, relative to the directory of this package.
const decisionsDoc = "../docs/decisions.md"

// minDecisionRows is the least number of rows, each of which answers a question, that the tables of docs/decisions.md
// must have.
const minDecisionRows = 25

// The tables of docs/decisions.md have these columns: question, functions that decide, functions that collect the
// inputs, inputs, constants, and how to observe the decision. The constants name the number of columns and the
// positions of two of them.
const (
	decisionColumnCount = 6
	decidedByColumn     = 1
	collectedByColumn   = 2
)

// referencePattern matches each `package.Identifier` of a document, together with the value that follows it after an
// equals sign, if there is one.
var referencePattern = regexp.MustCompile("`([a-z]+)\\.([A-Za-z][\\w.]*)`(?: = ([0-9.e+-]+))?")

// TestDecisionsDocReferencesAreDeclared checks that each `package.Identifier` in docs/decisions.md is declared in
// this package or in one of the rule packages below it. It also checks that each constant has the value that the
// document gives.
func TestDecisionsDocReferencesAreDeclared(t *testing.T) {
	matches := referencePattern.FindAllStringSubmatch(readTextFile(t, decisionsDoc), -1)
	if len(matches) < minDecisionRows {
		t.Fatalf("got %d references, want %d or more", len(matches), minDecisionRows)
	}
	packages := typeCheckPackages(t)
	for _, match := range matches {
		name, value := match[1]+"."+match[2], match[3]
		declaration := packages.lookUpDeclaration(match[1], match[2])
		if declaration == nil {
			t.Errorf("got reference %s, want the name of an existing declaration", name)
		}
		if declared, ok := declaration.(*types.Const); ok {
			checkConstant(t, name, declared, value)
		}
	}
}

// declarationOrFilePattern matches each `package.Identifier` and each (file.go) in a table cell.
var declarationOrFilePattern = regexp.MustCompile("`([a-z]+)\\.([A-Za-z][\\w.]*)`|\\(([\\w/]+\\.go)\\)")

// TestDecisionsDocFilesDeclareFunctions checks that each function that docs/decisions.md names as deciding or as
// collecting inputs is declared in the file that the document gives for it.
func TestDecisionsDocFilesDeclareFunctions(t *testing.T) {
	packages := typeCheckPackages(t)
	for _, row := range decisionRows(t) {
		for _, cell := range []string{row[decidedByColumn], row[collectedByColumn]} {
			checkFileReferences(t, packages, row[0], cell)
		}
	}
}

// checkFileReferences checks the file references of one table cell. In a cell, the name of a file follows the
// functions that the file declares.
func checkFileReferences(t *testing.T, packages *checkedPackages, question, cell string) {
	t.Helper()
	var functions []types.Object
	fileCount := 0
	for _, match := range declarationOrFilePattern.FindAllStringSubmatch(cell, -1) {
		packageName, identifier, file := match[1], match[2], match[3]
		if file == "" {
			functions = append(functions, packages.lookUpDeclaration(packageName, identifier))
			continue
		}
		fileCount++
		if _, err := os.Stat(filepath.Join("..", file)); err != nil {
			t.Errorf("%s: got file %s, want an existing file: %v", question, file, err)
		}
		for _, object := range functions {
			if declaredIn := packages.declaringFile(object); declaredIn != file {
				t.Errorf("%s: got file %s for %v, want the declaring file %q", question, file, object, declaredIn)
			}
		}
		functions = nil
	}
	if fileCount == 0 || len(functions) > 0 {
		t.Errorf("%s: got cell %q, want a file after the names of its functions", question, cell)
	}
}

// TestDocReferencesAreDeclared checks that each function, type or constant that the other documents name is declared.
// It skips names of packages that are neither this package nor a rule package.
func TestDocReferencesAreDeclared(t *testing.T) {
	packages := typeCheckPackages(t)
	for _, doc := range []string{"../docs/design.md", "../docs/glossary.md"} {
		t.Run(path.Base(doc), func(t *testing.T) {
			referenceCount := 0
			for _, match := range referencePattern.FindAllStringSubmatch(readTextFile(t, doc), -1) {
				if packages.byName[match[1]] == nil {
					continue
				}
				referenceCount++
				if packages.lookUpDeclaration(match[1], match[2]) == nil {
					t.Errorf("got reference %s.%s, want the name of an existing declaration", match[1], match[2])
				}
			}
			if referenceCount == 0 {
				t.Error("got no reference to this package or a rule package, want at least one")
			}
		})
	}
}

// TestDecisionsDocQuotesExistingLogMessages checks that each log message that docs/decisions.md quotes occurs in the
// sources of this package.
func TestDecisionsDocQuotesExistingLogMessages(t *testing.T) {
	sourceFiles, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var sourceText strings.Builder
	for _, sourceFile := range sourceFiles {
		if !strings.HasSuffix(sourceFile, "_test.go") {
			sourceText.WriteString(readTextFile(t, sourceFile))
		}
	}
	quotations := regexp.MustCompile("\"[a-z ]+\"`").FindAllString(readTextFile(t, decisionsDoc), -1)
	if len(quotations) == 0 {
		t.Fatal("got no quoted log message, want at least one")
	}
	for _, quotation := range quotations {
		if message := strings.TrimSuffix(quotation, "`"); !strings.Contains(sourceText.String(), message) {
			t.Errorf("got log message %s, want a message that this package logs", message)
		}
	}
}

// readTextFile returns the contents of a file and fails the test if the file cannot be read.
func readTextFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestDecisionsDocRowsAreComplete checks that docs/decisions.md has at least minDecisionRows questions, asks each
// question once and leaves no column empty.
func TestDecisionsDocRowsAreComplete(t *testing.T) {
	questions := map[string]bool{}
	for _, cells := range decisionRows(t) {
		question := cells[0]
		if questions[question] {
			t.Errorf("%s: got the question more than once, want it once", question)
		}
		questions[question] = true
		for i, cell := range cells {
			if cell == "" {
				t.Errorf("%s: got an empty column %d, want text", question, i)
			}
		}
	}
	if got := len(questions); got < minDecisionRows {
		t.Errorf("got %d questions, want %d or more", got, minDecisionRows)
	}
}

// decisionRows returns the cells of each table row of docs/decisions.md whose first cell is a question.
func decisionRows(t *testing.T) (rows [][]string) {
	t.Helper()
	for line := range strings.Lines(readTextFile(t, decisionsDoc)) {
		cells := strings.Split(strings.Trim(line, "| \n"), "|")
		for i, cell := range cells {
			cells[i] = strings.TrimSpace(cell)
		}
		if !strings.HasPrefix(line, "|") || !strings.HasSuffix(cells[0], "?") {
			continue
		}
		if len(cells) != decisionColumnCount {
			t.Errorf("%s: got %d columns, want %d", cells[0], len(cells), decisionColumnCount)
			continue
		}
		rows = append(rows, cells)
	}
	return rows
}

// checkConstant checks that the value of a numeric constant in docs/decisions.md, the parameter documented, is the
// value in the source.
func checkConstant(t *testing.T, name string, declared *types.Const, documented string) {
	t.Helper()
	if declared.Val().Kind() == constant.String {
		return
	}
	want, _ := constant.Float64Val(constant.ToFloat(declared.Val()))
	got, err := strconv.ParseFloat(documented, 64)
	if err != nil || math.Abs(got-want) > 1e-9*math.Abs(want) {
		t.Errorf("%s: got documented value %q, want %g", name, documented, want)
	}
}

// assignImportPath is the import path of this package.
const assignImportPath = "madderhollow/assign"

// checkedPackages holds this package and the rule packages below it, type-checked without their test files. It
// implements types.Importer.
type checkedPackages struct {
	byName  map[string]*types.Package // type-checked packages by package name
	fileSet *token.FileSet
}

// typeCheckPackages type-checks this package and the rule packages below it.
func typeCheckPackages(t *testing.T) *checkedPackages {
	t.Helper()
	directories, err := filepath.Glob("*/")
	if err != nil {
		t.Fatal(err)
	}
	packages := &checkedPackages{byName: map[string]*types.Package{}, fileSet: token.NewFileSet()}
	for _, directory := range append(directories, ".") {
		sources, err := filepath.Glob(filepath.Join(directory, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		if len(sources) > 0 {
			if _, err := packages.Import(path.Join(assignImportPath, directory)); err != nil {
				t.Fatal(err)
			}
		}
	}
	return packages
}

// lookUpDeclaration returns the declaration of an identifier in a package. An identifier of the form "Type.Member"
// names a field or method. It returns nil if there is no such declaration.
func (p *checkedPackages) lookUpDeclaration(packageName, identifier string) types.Object {
	checkedPackage := p.byName[packageName]
	if checkedPackage == nil {
		return nil
	}
	name, member, hasMember := strings.Cut(identifier, ".")
	object := checkedPackage.Scope().Lookup(name)
	if object == nil || !hasMember {
		return object
	}
	memberObject, _, _ := types.LookupFieldOrMethod(object.Type(), true, checkedPackage, member)
	return memberObject
}

// declaringFile returns the path, relative to the root of the repository, of the file that declares an object. It
// returns an empty string for nil.
func (p *checkedPackages) declaringFile(object types.Object) string {
	if object == nil {
		return ""
	}
	return path.Join("assign", filepath.ToSlash(p.fileSet.Position(object.Pos()).Filename))
}

// errNotImported is returned for packages outside assignImportPath. Type-checking without these packages still yields
// all declarations and constants that the tests look up.
var errNotImported = errors.New("package not imported")

// Import returns a package under assignImportPath and type-checks it at the first import. It returns errNotImported
// for any other package.
func (p *checkedPackages) Import(importPath string) (*types.Package, error) {
	name := path.Base(importPath)
	if !strings.HasPrefix(importPath, assignImportPath) {
		return nil, errNotImported
	}
	if checked := p.byName[name]; checked != nil {
		return checked, nil
	}
	sources, err := filepath.Glob(filepath.Join(".", strings.TrimPrefix(importPath, assignImportPath), "*.go"))
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
	// The Error function ignores errors about packages that are not imported.
	config := types.Config{Importer: p, Error: func(error) {}}
	p.byName[name], _ = config.Check(importPath, p.fileSet, files, nil)
	return p.byName[name], nil
}
