package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// onCallPage lists every log message and counter.
const onCallPage = "../../docs/on-call.md"

// message is a log message in the source.
type message struct {
	text       string
	level      string   // empty if it is not in the same expression
	components []string // one of which logs it
	position   token.Position
}

// moduleComponent is the component of the messages that package assign and its rule packages order.
const moduleComponent = "assign"

// sourcePackage collects the messages and components of the Go files in one directory.
type sourcePackage struct {
	files      *token.FileSet
	module     bool // package assign or a package under it
	components []string
	messages   []message
	errors     []string
}

// collect records what an element of the syntax tree logs.
func (p *sourcePackage) collect(element ast.Node) bool {
	switch element := element.(type) {
	case *ast.CallExpr:
		p.collectCall(element)
	case *ast.CompositeLit:
		p.collectLiteral(element)
	}
	return true
}

// collectCall records the message in Msg("...") or in a call of the module's helper log("...", ...), and the component in
// Str("component", "...").
func (p *sourcePackage) collectCall(call *ast.CallExpr) {
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	switch name, arguments := function.Sel.Name, len(call.Args); {
	case name == "Msg" && arguments == 1:
		p.add(call.Args[0], levelOf(call))
	case name == "log" && arguments > 0 && p.module:
		p.add(call.Args[0], "info")
	case name == "Msgf", name == "Send" && arguments == 0:
		p.fail(call.Pos(), name+" does not log a constant message")
	case name == "Str" && arguments == 2 && constant(call.Args[0]) == "component":
		p.components = append(p.components, constant(call.Args[1]))
	}
}

// collectLiteral records the messages in literals of conditionlog.Config and assign.Log.
func (p *sourcePackage) collectLiteral(literal *ast.CompositeLit) {
	typeName := ""
	switch expression := literal.Type.(type) {
	case *ast.SelectorExpr:
		typeName = fmt.Sprint(expression.X, ".", expression.Sel)
	case *ast.Ident:
		typeName = expression.Name
	}
	levels := map[string]string{}
	switch {
	case typeName == "conditionlog.Config":
		levels = map[string]string{"Failing": "warn", "Recovered": "info"}
	case typeName == "assign.Log" || typeName == "Log" && p.module:
		levels = map[string]string{"Message": "info"}
	}
	for _, element := range literal.Elts {
		if pair, ok := element.(*ast.KeyValueExpr); ok {
			if level, ok := levels[fmt.Sprint(pair.Key)]; ok {
				p.add(pair.Value, level)
			}
		}
	}
}

// add records a message. Messages have to be string literals, except where conditionlog, the event loop and the module's
// helper pass on a message that was recorded where it was given.
func (p *sourcePackage) add(expression ast.Expr, level string) {
	if text := constant(expression); text != "" {
		p.messages = append(p.messages, message{text: text, level: level, position: p.files.Position(expression.Pos())})
		return
	}
	passedOn := false
	switch expression := expression.(type) {
	case *ast.SelectorExpr:
		passedOn = slices.Contains([]string{"Failing", "Recovered", "Message"}, expression.Sel.Name)
	case *ast.Ident:
		passedOn = p.module && expression.Name == "message"
	}
	if !passedOn {
		p.fail(expression.Pos(), "the message is not a string literal")
	}
}

// fail records an error in the source.
func (p *sourcePackage) fail(position token.Pos, text string) {
	p.errors = append(p.errors, fmt.Sprint(p.files.Position(position), ": ", text))
}

// constant returns the value of a string literal, or an empty string for any other expression.
func constant(expression ast.Expr) string {
	literal, ok := expression.(*ast.BasicLit)
	if !ok {
		return ""
	}
	text, err := strconv.Unquote(literal.Value)
	if err != nil {
		return ""
	}
	return text
}

// levelOf returns the level of a chain of calls such as log.Warn().Err(err).Msg("..."), if the chain begins with it.
func levelOf(expression ast.Expr) string {
	for {
		call, ok := expression.(*ast.CallExpr)
		if !ok {
			return ""
		}
		function, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return ""
		}
		if name := function.Sel.Name; slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, name) {
			return strings.ToLower(name)
		}
		expression = function.X
	}
}

// sourceMessages returns the log messages of the program's packages, without their tests.
func sourceMessages(t *testing.T) (messages []message) {
	t.Helper()
	for _, root := range []string{".", "../../assign", "../../internal"} {
		err := filepath.WalkDir(root, func(directory string, entry fs.DirEntry, err error) error {
			if err != nil || !entry.IsDir() {
				return err
			}
			messages = append(messages, messagesIn(t, directory, strings.HasPrefix(directory, "../../assign"))...)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return messages
}

// messagesIn returns the log messages of the package in a directory.
func messagesIn(t *testing.T, directory string, module bool) []message {
	t.Helper()
	source := &sourcePackage{files: token.NewFileSet(), module: module}
	paths, err := filepath.Glob(filepath.Join(directory, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(source.files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, source.collect)
	}
	for _, text := range source.errors {
		t.Error(text)
	}
	components := source.components
	if module {
		components = []string{moduleComponent}
	}
	for i := range source.messages {
		source.messages[i].components = components
	}
	return source.messages
}

// tableRows returns the cells of the tables in one section of the on-call page, without the heads.
func tableRows(t *testing.T, heading string) (rows [][]string) {
	t.Helper()
	_, section, found := strings.Cut(readFile(t, onCallPage), "\n## "+heading+"\n")
	if !found {
		t.Fatalf("%s has no section %q", onCallPage, heading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	for _, line := range strings.Split(section, "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| ---") {
			cells := strings.Split(strings.Trim(line, "| "), "|")
			for i := range cells {
				cells[i] = strings.TrimSpace(cells[i])
			}
			rows = append(rows, cells)
		}
	}
	if len(rows) == 0 {
		t.Fatalf("%s has no table in section %q", onCallPage, heading)
	}
	return rows[1:]
}

// listed is a log message in the table of the on-call page.
type listed struct{ component, level, text string }

// is reports whether the table's message is that of the source.
func (l listed) is(m message) bool {
	sameLevel := m.level == "" || m.level == l.level
	return l.text == m.text && sameLevel && slices.Contains(m.components, l.component)
}

// listedMessages returns the log messages of the on-call page.
func listedMessages(t *testing.T) (messages []listed) {
	t.Helper()
	const columns = 6 // component, level, message, fields, meaning, action
	for _, row := range tableRows(t, "Log messages") {
		if len(row) != columns {
			t.Errorf("got %d cells, want %d: %q", len(row), columns, row)
			continue
		}
		entry := listed{strings.Trim(row[0], "`"), row[1], strings.Trim(row[2], "`")}
		if slices.Contains(messages, entry) {
			t.Errorf("listed twice: %+v", entry)
		}
		messages = append(messages, entry)
	}
	return messages
}

// The page lists exactly the messages of the source, each with its component and level.
func TestOnCallPageListsLogMessages(t *testing.T) {
	onPage, inSource := listedMessages(t), sourceMessages(t)
	for _, message := range inSource {
		if !slices.ContainsFunc(onPage, func(entry listed) bool { return entry.is(message) }) {
			t.Errorf("%v: want on the page: message %q, level %q, component %q",
				message.position, message.text, message.level, message.components)
		}
	}
	for _, entry := range onPage {
		if !slices.ContainsFunc(inSource, entry.is) {
			t.Errorf("got on the page, but not in the source: %+v", entry)
		}
	}
}

// The messages in the table of symptoms are listed, too.
func TestOnCallPageSymptomsNameListedMessages(t *testing.T) {
	var messages []string
	for _, entry := range listedMessages(t) {
		messages = append(messages, entry.text)
	}
	quoted := regexp.MustCompile("`([^`]* [^`]*)`") // counters and fields have no spaces
	for _, row := range tableRows(t, "Symptoms") {
		for _, match := range quoted.FindAllStringSubmatch(row[0], -1) {
			if !slices.Contains(messages, match[1]) {
				t.Errorf("got symptom %q, which is no listed message", match[1])
			}
		}
	}
}

// The page lists exactly the counters of the status page.
func TestOnCallPageListsCounters(t *testing.T) {
	var want []string
	for _, field := range reflect.VisibleFields(reflect.TypeFor[counters]()) {
		want = append(want, field.Tag.Get("json"))
	}
	var got []string
	name := regexp.MustCompile("`([a-z_]+)`")
	for _, row := range tableRows(t, "Counters") {
		for _, match := range name.FindAllStringSubmatch(row[0], -1) {
			got = append(got, match[1])
		}
	}
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("got counters %v on the page, want %v", got, want)
	}
}
