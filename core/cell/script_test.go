package cell

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// script runs the commands of a testdata file on a simulation without random faults.
type script struct {
	w       *world
	holds   []holdRule
	disable func(*guards)
	logSeen int
	// slices is the number of slices of each range.
	slices uint32
}

// holdRule holds back messages of a kind, at most left of them, until the command "release".
type holdRule struct {
	from, to, kind string
	left           int
}

func (r *holdRule) matches(from, to, kind string) bool {
	same := func(want, got string) bool { return want == "*" || want == got }
	return r.left > 0 && same(r.from, from) && same(r.to, to) && r.kind == kind
}

func (s *script) hook(from, to, kind string) bool {
	for i := range s.holds {
		if s.holds[i].matches(from, to, kind) {
			s.holds[i].left--
			return true
		}
	}
	return false
}

// run executes one command, such as "cut a store", and returns its output.
func (s *script) run(line string) string {
	f := strings.Fields(line)
	if f[0] == "walk" {
		return s.walk(f[1], f[2])
	}
	if f[0] == "world" {
		s.world(f[1:])
		return s.state()
	}
	w := s.w
	arg := func(i int) string {
		if i < len(f) {
			return f[i]
		}
		return ""
	}
	n := w.nodes[arg(1)]
	switch f[0] {
	case "run":
		d, err := time.ParseDuration(arg(1))
		if err != nil {
			return err.Error()
		}
		w.run(w.now + d)
		return s.state()
	case "until":
		return s.until(strings.Join(f[1:], " "))
	case "add":
		s.add(arg(1))
	case "hot":
		w.step(n, n.incarnation, TargetReported{Target: n.target, Loads: s.hotLoad(n)})
		w.step(n, n.incarnation, Poked{Poke{Epoch: n.machine.epoch, Controller: n.machine.controllerMember}})
	case "drains":
		w.faults.drainFor, _ = time.ParseDuration(arg(1))
	case "pause":
		d, _ := time.ParseDuration(arg(2))
		n.pausedUntil = w.now + d
	case "kill":
		w.kill(n, arg(2) == "target")
	case "start":
		w.startTarget(n)
		w.start(n)
	case "leave":
		w.step(n, n.incarnation, LeaveRequested{})
	case "jump":
		w.step(n, n.incarnation, ClockJumped{})
	case "target":
		s.target(n, arg(2))
	case "cut":
		w.cut[[2]string{arg(1), arg(2)}] = true
	case "heal":
		s.heal(arg(1), arg(2))
	case "store":
		w.store.down = arg(1) == "down"
	case "sheet":
		w.acceptSheet(s.slices, f[1:]...)
	case "stale-sheet":
		w.step(n, n.incarnation, SheetRead{Layout: w.sheets[0]})
	case "hold":
		left := 1 << 30
		if arg(4) != "" {
			left, _ = strconv.Atoi(arg(4))
		}
		s.holds = append(s.holds, holdRule{from: arg(1), to: arg(2), kind: arg(3), left: left})
	case "release":
		held := w.held
		w.held, s.holds = nil, nil
		for _, h := range held {
			h.run()
		}
	case "holders":
		return s.holders()
	case "log":
		return s.logged(strings.Join(f[1:], " "))
	default:
		return "unknown command " + f[0]
	}
	return ""
}

// hotLoad returns a report of a high load on one slice of the node, most of it for one key.
func (s *script) hotLoad(n *simNode) []SliceLoad {
	for _, id := range sortedSlices(s.w.holders) {
		for range 50 {
			if key := s.w.hotKey(id); key != "" && s.w.holders[id].node.Name == n.name {
				return []SliceLoad{{Slice: id, WorkMillis: 20000, Requests: 100, HotKey: key, HotShare: 900}}
			}
		}
	}
	return nil
}

func (s *script) target(n *simNode, what string) {
	switch what {
	case "kill":
		s.w.killTarget(n)
	case "start":
		s.w.startTarget(n)
	case "freeze":
		n.target.State = TargetSuspect
	case "thaw":
		n.target.State = TargetReady
	}
}

func (s *script) heal(a, b string) {
	if a == "" {
		s.w.cut = make(map[[2]string]bool)
	}
	delete(s.w.cut, [2]string{a, b})
	delete(s.w.cut, [2]string{b, a})
}

// world starts nodes specified as "name:domain[:cell][:open]"; "open" means that the target does
// not check fences. The first node becomes the controller.
func (s *script) world(args []string) {
	s.w = newWorld(1)
	s.w.holdHook = s.hook
	s.holds, s.logSeen = nil, 0
	cells := []string{}
	for i, a := range args {
		s.w.run(time.Duration(i) * 200 * time.Millisecond)
		if c := s.add(a); len(cells) == 0 || cells[len(cells)-1] != c {
			cells = append(cells, c)
		}
	}
	s.slices = 2 * uint32(len(args))
	s.w.acceptSheet(s.slices, cells...)
	s.w.run(6 * time.Second)
	s.disableGuards()
}

// walk runs count seeds of the random walk, starting with first, until a violation is found.
func (s *script) walk(first, count string) string {
	from, _ := strconv.Atoi(first)
	n, _ := strconv.Atoi(count)
	for seed := from; seed < from+n; seed++ {
		s.w = newWalkWorld(uint64(seed))
		s.disableGuards()
		s.w.run(walkFaultsEnd)
		if len(s.w.violations) > 0 {
			return fmt.Sprintf("seed %d: %s\n", seed, s.w.violations[0])
		}
	}
	return "no violation\n"
}

// disableGuards disables the script's guards on every machine.
func (s *script) disableGuards() {
	s.disable(&s.w.guards)
	for _, n := range s.w.nodes {
		n.machine.guards = s.w.guards
	}
}

// add starts a node and returns its cell.
func (s *script) add(spec string) string {
	p := strings.Split(spec, ":")
	cellName, checks := "alfold", true
	for _, extra := range p[2:] {
		if extra != "open" {
			cellName = extra
			continue
		}
		checks = false
		s.w.faults.runFor = 20 * time.Second
	}
	s.w.addNode(p[0], p[1], cellName, 1, checks)
	return cellName
}

// state returns one line per cell with its controller, standby and number of slices, then the
// number of slices served and any violations.
func (s *script) state() string {
	var b strings.Builder
	for _, name := range sortedNames(s.w.store.objects) {
		r := s.w.store.objects[name].rec
		count := 0
		for i := range r.Ranges {
			count += len(r.Ranges[i].Slices)
		}
		fmt.Fprintf(&b, "%s: epoch %d, controller %s, standby %s, slices %d, sheet %d\n", name, r.Epoch, r.Controller.Name, r.Standby.Name, count, r.SheetVersion)
	}
	fmt.Fprintf(&b, "served %d\n", s.w.served())
	for _, v := range s.w.violations {
		b.WriteString("violation " + v + "\n")
	}
	return b.String()
}

// until runs for up to five seconds, until a line of the log contains the text.
func (s *script) until(text string) string {
	end := s.w.now + 5*time.Second
	from := len(s.w.log)
	for s.w.now < end && len(s.w.violations) == 0 {
		s.w.run(s.w.now + time.Millisecond)
		for _, l := range s.w.log[from:] {
			if strings.Contains(l, text) {
				return l[8:] + "\n"
			}
		}
		from = len(s.w.log)
	}
	return "not seen\n"
}

func (s *script) holders() string {
	var b strings.Builder
	ids := make(map[keyspace.SliceID]simLease)
	for id, h := range s.w.holders {
		if h.until > s.w.now {
			ids[id] = h
		}
	}
	for _, id := range sortedSlices(ids) {
		fmt.Fprintf(&b, "slice %d: %s\n", id.Index, ids[id].node.Name)
	}
	return b.String()
}

// logged returns the log lines since the last call that contain the text.
func (s *script) logged(text string) string {
	var b strings.Builder
	for _, l := range s.w.log[s.logSeen:] {
		if strings.Contains(l, text) {
			b.WriteString(l[8:] + "\n")
		}
	}
	s.logSeen = len(s.w.log)
	return b.String()
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{disable: alsoDisabled(t, path)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(command(d))
		})
	})
}

// alsoDisabled returns the function that, for a script that asks for it, also disables the bound
// of leases by authority and the shorter wait after a takeover that depends on this bound. Such
// a script shows that the guard it tests is sufficient by itself; otherwise the bound would
// prevent the violation too and so hide that the guard is missing.
func alsoDisabled(t *testing.T, path string) func(*guards) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(data), "\n# also disabled: leases within authority\n") {
		return func(*guards) {}
	}
	return func(g *guards) { g.unboundLeases, g.fullQuietTime = true, true }
}

// command returns a directive and its arguments as one line.
func command(d *datadriven.TestData) string {
	words := []string{d.Cmd}
	for _, a := range d.CmdArgs {
		words = append(words, a.Key)
	}
	return strings.Join(words, " ")
}

// scriptCommands returns the commands of a script file and the guard that it tests.
func scriptCommands(t *testing.T, path string) (commands []string, guard string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	all := strings.Split(string(data), "\n")
	for i, l := range all {
		if g, ok := strings.CutPrefix(l, "# guard: "); ok {
			guard = g
		}
		if l == "----" && all[i-1] != "" {
			commands = append(commands, all[i-1])
		}
	}
	return commands, guard
}

func guardScripts(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob("testdata/guard/*")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	return paths
}

// TestScriptsNeedTheirGuards runs each script that names a guard with that guard disabled: the
// checks must then find a violation.
func TestScriptsNeedTheirGuards(t *testing.T) {
	for _, path := range guardScripts(t) {
		commands, guard := scriptCommands(t, path)
		disable, known := guardSwitches[guard]
		if !known {
			t.Errorf("%s names no known guard", path)
			continue
		}
		also := alsoDisabled(t, path)
		s := &script{disable: func(g *guards) { also(g); disable(g) }}
		for _, c := range commands {
			s.run(c)
		}
		if len(s.w.violations) == 0 {
			t.Errorf("%s: no violation without the guard %q", path, guard)
		}
	}
}
