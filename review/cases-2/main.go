// Command cases-2 plays the scripts of the second review. Each case starts processes of the system on loopback addresses,
// with a store, servers and clients of its own, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// outcome is the result of a case: what the rule's check has found.
type outcome int

const (
	held outcome = iota
	broken
	notRun
)

var cases = map[string]func(rec *recorder, nodeBin string, trouble bool) outcome{}

// config has a keyed service and two shared ones.
const config = `{"version":"00000001","limits":{"max-header-bytes":16384,"max-body-bytes":1000000,"header-timeout-s":3,"idle-timeout-s":15},
"listeners":[{"host":"a.example","rules":[
{"name":"book","kind":"non_idempotent","slo-s":0.3,"priority":1,"match":{"path-prefix":"/book/"},"action":{"service":"k","timeout-s":2,"attempts":2}},
{"name":"look","kind":"idempotent","slo-s":0.3,"priority":2,"match":{"path-prefix":"/look/"},"action":{"service":"k","timeout-s":2,"attempts":2}},
{"name":"order","kind":"non_idempotent","slo-s":0.3,"priority":1,"match":{"path-prefix":"/order/"},"action":{"service":"s","timeout-s":2,"attempts":2}},
{"name":"read","kind":"idempotent","slo-s":0.8,"priority":2,"match":{"path-prefix":"/read/"},"action":{"service":"s","timeout-s":4,"attempts":2}},
{"name":"manual","kind":"download","slo-s":0.8,"priority":2,"match":{"path-prefix":"/manual/"},"action":{"service":"t","timeout-s":4,"attempts":2}}]}],
"clusters":[{"name":"k","health-path":"/healthz","max-conns":110,"sharded":true,"warm-s":5},{"name":"s","health-path":"/healthz","max-conns":110},{"name":"t","health-path":"/healthz","max-conns":110}]}`

func main() {
	name := flag.String("case", "", "name of the case")
	nodeBin := flag.String("node", "target/auburnrelay", "program of the system")
	record := flag.String("record", "", "file of the record; standard output if it is empty")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(2)
	}
	rec := &recorder{out: os.Stdout, began: time.Now()}
	if *record != "" {
		f, err := os.Create(*record)
		must(err)
		defer f.Close()
		rec.out = f
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %t", *name, trouble)
	result := play(rec, *nodeBin, trouble)
	rec.printf("%s", map[outcome]string{held: "the rule held", broken: "the rule was broken", notRun: "the case could not run"}[result])
	os.Exit(map[outcome]int{held: 0, broken: 1, notRun: 2}[result])
}
