package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["encoded-slash"] = encodedSlash }

// partsConfig has two routes, one of whose prefixes begins with that of the other.
const partsConfig = `{"version":"00000001","limits":{"max-header-bytes":16384,"max-body-bytes":1000000,"header-timeout-s":3,"idle-timeout-s":15},
"listeners":[{"host":"a.example","rules":[
{"name":"parts","kind":"non_idempotent","slo-s":0.3,"priority":1,"match":{"path-prefix":"/parts/"},"action":{"service":"s","timeout-s":2,"attempts":2}},
{"name":"manuals","kind":"idempotent","slo-s":0.3,"priority":2,"match":{"path-prefix":"/parts/manual/"},"action":{"service":"t","timeout-s":2,"attempts":2}}]}],
"clusters":[{"name":"s","health-path":"/healthz","max-conns":110},{"name":"t","health-path":"/healthz","max-conns":110}]}`

// encodedSlash: clients ask for a part whose number has a slash, which they encode as one segment of the path. With
// TROUBLE=0 the number has none.
func encodedSlash(rec *recorder, nodeBin string, trouble bool) outcome {
	d := newDeployment(rec, nodeBin, partsConfig)
	defer d.close()
	ranAt := make(chan string, 1000)
	for i, service := range []string{"s", "t", "s", "t"} {
		s := newServer(rec, service, false)
		s.handle = func(_ *serverConn, r *http.Request) bool {
			if r.Header.Get("X-Attempt-Id") != "" && r.Header.Get("X-Target-Instance") == s.id {
				ranAt <- fmt.Sprintf("%s: %s %s", service, r.Method, r.RequestURI)
			}
			return false
		}
		d.addNode(fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("z%d", i%2), s)
		s.run()
	}
	if !d.awaitReady() {
		return notRun
	}
	time.Sleep(5 * time.Second)
	path := "/parts/manual-17"
	if trouble {
		path = "/parts/manual%2F17"
	}
	wrong := 0
	for i := range 20 {
		n := d.nodes[i%len(d.nodes)]
		r := newRequest("POST", path)
		r.body = []byte("order this part")
		a := r.send(n.callers)
		ran := "nowhere"
		select {
		case ran = <-ranAt:
		case <-time.After(100 * time.Millisecond):
		}
		if strings.HasPrefix(ran, "t: ") {
			wrong++
		}
		rec.printf("client sent POST %s at %s, got %v; ran at %s", path, n.name, a, ran)
	}
	rec.printf("%d of 20 requests ran at the service t, although their path begins with %q and not with %q", wrong, "/parts/", "/parts/manual/")
	if wrong > 0 {
		return broken
	}
	return held
}
