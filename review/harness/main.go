// Command harness runs the review's cases: it starts the project's sidecar as separate processes, with the
// stand-in store, stand-in backends and clients in its own process, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// A check runs a case with or without its trouble. It returns the rule's violations.
type check func(r *record, trouble bool) []string

// cases holds the cases by name; each file of a case adds its own.
var cases = map[string]check{}

func main() { os.Exit(runCase()) }

func runCase() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return 2
	}
	defer func() {
		if p, ok := recover().(unrunnable); ok {
			fmt.Println("the case could not run:", p.err)
			code = 2
		}
	}()
	r := newRecord(os.Args[2])
	violations := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	for i, v := range violations {
		r.printf("VIOLATION %s", v)
		if i < 10 {
			fmt.Println(v)
		}
	}
	r.printf("%d violations", len(violations))
	fmt.Printf("%d violations\n", len(violations))
	if len(violations) > 0 {
		return 1
	}
	return 0
}
