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

// onCallPage is the path of the page that lists every log message and counter of the program.
const onCallPage = "../../docs/on-call.md"

// sourceMessage is a log message in the source code.
type sourceMessage struct {
	text       string
	level      string         // log level of the message; empty if the source code does not state it at the message
	components []string       // log components of the package; the message belongs to one of them
	location   token.Position // place of the message in the source code
}

// decisionModuleComponent is the component of the messages that the decision module requests in its orders. The
// decision module consists of package assign and the packages below it; it does not log messages itself.
const decisionModuleComponent = "assign"

// sourcePackage collects the log messages and the log components in the Go files of one directory.
type sourcePackage struct {
	fileSet        *token.FileSet
	decisionModule bool     // whether the directory belongs to the decision module
	components     []string // names of the log components, from calls of Str("component", "...")
	messages       []sourceMessage
	errors         []string // places in the source code where a message cannot be read, each with the reason
}

// collectNode records the log messages and components in one node of the syntax tree. It returns true, so that
// ast.Inspect visits the children of the node.
func (p *sourcePackage) collectNode(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.CallExpr:
		p.collectCall(node)
	case *ast.CompositeLit:
		p.collectLiteral(node)
	}
	return true
}

// collectCall records the message in a call Msg("..."), and the component in a call Str("component", "..."). In the
// decision module it also records the message in a call of the helper log("...", ...). It records an error for a call
// that logs a formatted message or no message.
func (p *sourcePackage) collectCall(call *ast.CallExpr) {
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	switch name, argumentCount := function.Sel.Name, len(call.Args); {
	case name == "Msg" && argumentCount == 1:
		p.addMessage(call.Args[0], callChainLevel(call))
	case name == "log" && argumentCount > 0 && p.decisionModule:
		p.addMessage(call.Args[0], "info")
	case name == "Msgf", name == "Send" && argumentCount == 0:
		p.addError(call.Pos(), name+" does not log a constant message")
	case name == "Str" && argumentCount == 2 && stringLiteral(call.Args[0]) == "component":
		p.components = append(p.components, stringLiteral(call.Args[1]))
	}
}

// collectLiteral records the messages in composite literals of the types conditionlog.Config and assign.Log.
func (p *sourcePackage) collectLiteral(literal *ast.CompositeLit) {
	typeName := ""
	switch expression := literal.Type.(type) {
	case *ast.SelectorExpr:
		typeName = fmt.Sprint(expression.X, ".", expression.Sel)
	case *ast.Ident:
		typeName = expression.Name
	}
	levelByField := map[string]string{}
	switch {
	case typeName == "conditionlog.Config":
		levelByField = map[string]string{"Failing": "warn", "Recovered": "info"}
	case typeName == "assign.Log" || typeName == "Log" && p.decisionModule:
		levelByField = map[string]string{"Message": "info"}
	}
	for _, element := range literal.Elts {
		if pair, ok := element.(*ast.KeyValueExpr); ok {
			if level, ok := levelByField[fmt.Sprint(pair.Key)]; ok {
				p.addMessage(pair.Value, level)
			}
		}
	}
}

// addMessage records a message. A message must be a string literal. The exceptions are package conditionlog, the event
// loop and the decision module's helper log: they forward a message that is recorded at the place where their caller
// states it. addMessage records an error for any other expression.
func (p *sourcePackage) addMessage(expression ast.Expr, level string) {
	if text := stringLiteral(expression); text != "" {
		p.messages = append(p.messages, sourceMessage{text: text, level: level, location: p.fileSet.Position(expression.Pos())})
		return
	}
	forwarded := false
	switch expression := expression.(type) {
	case *ast.SelectorExpr:
		forwarded = slices.Contains([]string{"Failing", "Recovered", "Message"}, expression.Sel.Name)
	case *ast.Ident:
		forwarded = p.decisionModule && expression.Name == "message"
	}
	if !forwarded {
		p.addError(expression.Pos(), "the message is not a string literal")
	}
}

// addError records a place in the source code that does not follow the rules for log messages, with the reason.
func (p *sourcePackage) addError(position token.Pos, text string) {
	p.errors = append(p.errors, fmt.Sprint(p.fileSet.Position(position), ": ", text))
}

// stringLiteral returns the value of an expression that is a string literal. For any other expression it returns an
// empty string.
func stringLiteral(expression ast.Expr) string {
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

// callChainLevel returns the log level of a chain of calls, for instance "warn" for log.Warn().Err(err).Msg("..."). It
// returns an empty string if the chain does not contain a level.
func callChainLevel(expression ast.Expr) string {
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

// sourceMessages returns the log messages in the source code of the program. Files of tests are excluded.
func sourceMessages(t *testing.T) (messages []sourceMessage) {
	t.Helper()
	for _, root := range []string{".", "../../assign", "../../internal"} {
		err := filepath.WalkDir(root, func(directory string, entry fs.DirEntry, err error) error {
			if err != nil || !entry.IsDir() {
				return err
			}
			messages = append(messages, packageMessages(t, directory, strings.HasPrefix(directory, "../../assign"))...)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return messages
}

// packageMessages returns the log messages of the package in a directory. The argument decisionModule states whether
// the package belongs to the decision module.
func packageMessages(t *testing.T, directory string, decisionModule bool) []sourceMessage {
	t.Helper()
	source := &sourcePackage{fileSet: token.NewFileSet(), decisionModule: decisionModule}
	paths, err := filepath.Glob(filepath.Join(directory, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(source.fileSet, path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, source.collectNode)
	}
	for _, text := range source.errors {
		t.Error(text)
	}
	components := source.components
	if decisionModule {
		components = []string{decisionModuleComponent}
	}
	for i := range source.messages {
		source.messages[i].components = components
	}
	return source.messages
}

// tableRows returns the rows of the table in the section of the on-call page with the given heading. Each row is a
// list of cells. The header row is excluded.
func tableRows(t *testing.T, heading string) (rows [][]string) {
	t.Helper()
	_, section, found := strings.Cut(readFile(t, onCallPage), "\n## "+heading+"\n")
	if !found {
		t.Fatalf("%s: got no section %q, want one", onCallPage, heading)
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
		t.Fatalf("%s: got no table in section %q, want one", onCallPage, heading)
	}
	return rows[1:]
}

// listedMessage is a log message that the on-call page lists.
type listedMessage struct{ component, level, text string }

// matches reports whether the listed message has the text, the level and a possible component of the message in the
// source code. A message whose level is unknown matches any level.
func (l listedMessage) matches(m sourceMessage) bool {
	levelMatches := m.level == "" || m.level == l.level
	return l.text == m.text && levelMatches && slices.Contains(m.components, l.component)
}

// listedMessages returns the log messages that the on-call page lists.
func listedMessages(t *testing.T) (messages []listedMessage) {
	t.Helper()
	const columns = 6 // number of columns: component, level, message, fields, meaning and action
	for _, row := range tableRows(t, "Log messages") {
		if len(row) != columns {
			t.Errorf("got a row with %d cells, want %d: %q", len(row), columns, row)
			continue
		}
		entry := listedMessage{strings.Trim(row[0], "`"), row[1], strings.Trim(row[2], "`")}
		if slices.Contains(messages, entry) {
			t.Errorf("got a message that is listed twice, want it listed once: %+v", entry)
		}
		messages = append(messages, entry)
	}
	return messages
}

// The on-call page must list exactly the log messages of the source code, each with its component and level. An
// operator looks up messages on the page.
func TestOnCallPageListsLogMessages(t *testing.T) {
	messagesOnPage, messagesInSource := listedMessages(t), sourceMessages(t)
	for _, message := range messagesInSource {
		if !slices.ContainsFunc(messagesOnPage, func(entry listedMessage) bool { return entry.matches(message) }) {
			t.Errorf("%v: got a message that is not on the page, want it listed: message %q, level %q, one of the components %q",
				message.location, message.text, message.level, message.components)
		}
	}
	for _, entry := range messagesOnPage {
		if !slices.ContainsFunc(messagesInSource, entry.matches) {
			t.Errorf("got a listed message that is not in the source code, want only messages of the source code: %+v", entry)
		}
	}
}

// The table of symptoms on the on-call page must quote only messages that the page's table of log messages lists.
func TestOnCallPageSymptomsNameListedMessages(t *testing.T) {
	var messages []string
	for _, entry := range listedMessages(t) {
		messages = append(messages, entry.text)
	}
	// Only quoted messages contain spaces; quoted names of counters and fields do not.
	quotedMessage := regexp.MustCompile("`([^`]* [^`]*)`")
	for _, row := range tableRows(t, "Symptoms") {
		for _, match := range quotedMessage.FindAllStringSubmatch(row[0], -1) {
			if !slices.Contains(messages, match[1]) {
				t.Errorf("got symptom %q, want a listed log message", match[1])
			}
		}
	}
}

// The on-call page must list exactly the counters that the status page shows.
func TestOnCallPageListsCounters(t *testing.T) {
	var want []string
	for _, field := range reflect.VisibleFields(reflect.TypeFor[counters]()) {
		want = append(want, field.Tag.Get("json"))
	}
	var got []string
	quotedName := regexp.MustCompile("`([a-z_]+)`")
	for _, row := range tableRows(t, "Counters") {
		for _, match := range quotedName.FindAllStringSubmatch(row[0], -1) {
			got = append(got, match[1])
		}
	}
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("got counters %v on the page, want %v", got, want)
	}
}
