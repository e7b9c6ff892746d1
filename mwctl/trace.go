package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"mustardwheel.example/mwlib/mwcode"
)

// trace is the command that follows one request through the logs of many nodes.
type trace struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes" description:"id of the request, or of one of its calls"`
		Files []string `positional-arg-name:"FILE" description:"logs of nodes; standard input by default"`
	} `positional-args:"yes"`
}

// traceLine is one log line about a request.
type traceLine struct {
	Time time.Time
	// From is the node that wrote the line: the text before the JSON object,
	// as added by log collectors, or else the name of the file.
	From     string
	Message  string
	ID       string
	Root     string
	Service  string
	Code     mwcode.Code
	Reason   string
	Left     time.Duration
	Attempts []tracedAttempt
	Line     json.RawMessage // Line is the whole line.
}

// tracedAttempt is one attempt of a call.
type tracedAttempt struct {
	Node   string
	Code   mwcode.Code
	Failed bool
	Took   time.Duration
}

// traceResult is the output of trace.
type traceResult struct {
	Lines []traceLine
	// Cause is the index of the line that shows why the request failed, -1 if
	// there is none.
	Cause int
}

// maxLine is the maximum length of a log line in bytes, enough for dozens of
// attempts.
const maxLine = 1 << 20

func (v *trace) run(e *env) error {
	var r traceResult
	err := forEachLog(v.Args.Files, func(name string, in io.Reader) error {
		return scanLog(name, in, v.Args.ID, func(l traceLine) {
			if l.concerns(v.Args.ID) {
				r.Lines = append(r.Lines, l)
			}
		})
	})
	if err != nil {
		return err
	}
	if len(r.Lines) == 0 {
		return mwcode.New(mwcode.NotFound, mwcode.Field(v.Args.ID),
			mwcode.Expected("the id of a request in a log line; requests that succeed at the first attempt are logged only with --debug"))
	}
	sortByTime(r.Lines)
	r.Cause = causeOf(r.Lines)
	return r.print(e)
}

// forEachLog calls f with each of the log files, or with standard input if there
// are none.
func forEachLog(files []string, f func(name string, in io.Reader) error) error {
	if len(files) == 0 {
		return f("", os.Stdin)
	}
	for _, name := range files {
		in, err := os.Open(name)
		if err != nil {
			return mwcode.New(mwcode.BadCommand, mwcode.File(name), mwcode.Wrap(err))
		}
		err = f(filepath.Base(name), in)
		in.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// sortByTime sorts ls by time. Lines of the same time keep their order.
func sortByTime(ls []traceLine) {
	slices.SortStableFunc(ls, func(a, b traceLine) int { return a.Time.Compare(b.Time) })
}

// scanLog calls f for each line of in that concerns a call and contains text. The
// search is much cheaper than decoding the line.
func scanLog(name string, in io.Reader, text string, f func(l traceLine)) error {
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		if !strings.Contains(sc.Text(), text) {
			continue
		}
		l, ok := parseLine(sc.Text())
		if !ok {
			continue
		}
		if l.From == "" {
			l.From = name
		}
		f(l)
	}
	if err := sc.Err(); err != nil {
		return mwcode.New(mwcode.BadCommand, mwcode.File(name), mwcode.Wrap(err))
	}
	return nil
}

// parseLine parses a log line. It returns false if the line concerns no call or
// is not a log line of a node.
func parseLine(text string) (l traceLine, ok bool) {
	before, rest, ok := strings.Cut(text, "{")
	if !ok {
		return traceLine{}, false
	}
	var j struct {
		Time     time.Time `json:"time"`
		Msg      string    `json:"msg"`
		ID, Root string
		Service  string
		Code     mwcode.Code
		Reason   string
		Left     time.Duration
		Attempts []tracedAttempt
	}
	rest = "{" + rest
	if err := json.Unmarshal([]byte(rest), &j); err != nil || j.ID == "" {
		return traceLine{}, false // The line is from another program, or not about a call.
	}
	return traceLine{
		Time: j.Time, From: strings.Join(strings.Fields(before), " "), Message: j.Msg, ID: j.ID, Root: j.Root,
		Service: j.Service, Code: j.Code, Reason: j.Reason, Left: j.Left, Attempts: j.Attempts,
		Line: json.RawMessage(rest),
	}, true
}

// concerns reports whether the line is about the request or call id, or about a
// call made for it.
func (l traceLine) concerns(id string) bool {
	return l.ID == id || l.Root == id || strings.HasPrefix(l.ID, id+".")
}

// request returns the id of the request that the line is about.
func (l traceLine) request() string {
	if l.Root != "" {
		return l.Root
	}
	root, _, _ := strings.Cut(l.ID, ".")
	return root
}

// ended reports whether the line is about the end of a call at the node that
// routed it.
func (l traceLine) ended() bool { return l.Message != "call declined by its target" }

// lastReason returns the reason of the line, or Failed if the backend server
// answered with a failure.
func (l traceLine) lastReason() string {
	if l.Code == mwcode.OK {
		return "Failed"
	}
	return l.Reason
}

// causeOf returns the index of the first line of the deepest call that failed,
// -1 if none did. The calls above it failed as a consequence.
func causeOf(ls []traceLine) int {
	cause := -1
	for i, l := range ls {
		if !l.failed() {
			continue
		}
		if cause < 0 || l.depth() > ls[cause].depth() {
			cause = i
		}
	}
	return cause
}

// failed reports whether the line is of a call that was refused or failed.
func (l traceLine) failed() bool {
	return l.Code != mwcode.OK || len(l.Attempts) > 0 && l.Attempts[len(l.Attempts)-1].Failed
}

// depth returns the number of calls above this one, according to the call ids.
func (l traceLine) depth() int { return strings.Count(l.ID, ".") }

func (r traceResult) print(e *env) error {
	t := &table{head: []string{"AFTER", "FROM", "ID", "SERVICE", "MESSAGE", "REASON", "LEFT", "ATTEMPTS", ""}}
	for i, l := range r.Lines {
		mark := ""
		if i == r.Cause {
			mark = "<- cause"
		}
		t.add(l.Time.Sub(r.Lines[0].Time).Round(100*time.Microsecond), l.From, l.ID, l.Service, l.Message,
			l.Reason, l.Left.Round(time.Millisecond), attempts(l.Attempts), mark)
	}
	return e.print(r, t)
}

// attempts formats attempts for one cell.
func attempts(as []tracedAttempt) string {
	var cells []string
	for _, a := range as {
		how := a.Code.String()
		if a.Failed {
			how = "Failed"
		}
		node, _, _ := strings.Cut(a.Node, "#")
		cells = append(cells, fmt.Sprintf("%s %s %v", node, how, a.Took.Round(time.Millisecond)))
	}
	return cmp.Or(strings.Join(cells, ", "), "-")
}
