// Command standin plays one case of the review: it starts the store and the
// nodes as processes, plays targets, clients and the operator, and judges what
// they saw.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case couldn't
// run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// verdict is the outcome of a case: one line for each time the rule was broken.
type verdict struct {
	broken []string
	facts  string
}

func (v *verdict) add(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

// cases are the cases by name. trouble is false if the disruption is left out.
var cases = map[string]func(s *system, trouble bool) (*verdict, error){
	"stray-decline": strayDecline,
	"queued-drain":  queuedDrain,
	"early-answer":  earlyAnswer,
	"deaf-feed":     deafFeed,
	"left-again":    leftAgain,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return 2
	}
	w, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.Close()
	rec := &recorder{w: w, start: time.Now()}
	s, err := newSystem(rec)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	v, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.add("%s", v.facts)
	fmt.Println(v.facts)
	for i, b := range v.broken {
		rec.add("BROKEN: %s", b)
		if i < 5 {
			fmt.Println("BROKEN:", b)
		}
	}
	if len(v.broken) > 0 {
		fmt.Printf("the rule was broken %d times\n", len(v.broken))
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
