package measure

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/standin/load"
)

// TestRecovery checks that the recovery lasts until the last second that is not normal, also if earlier ones
// are, and that it counts whole seconds only.
func TestRecovery(t *testing.T) {
	rows := []struct {
		name string
		// inTime is the number of requests in time, out of ten, in each second.
		inTime []int64
		from   time.Duration
		want   float64
	}{
		{"normal at once", []int64{10, 2, 10, 10}, 2 * time.Second, 0},
		{"after one second", []int64{10, 2, 9, 10}, 2 * time.Second, 1},
		{"not at all", []int64{10, 2, 9, 9}, 2 * time.Second, 2},
		{"seconds that fall below normal again count", []int64{2, 10, 10, 9, 10}, time.Second, 3},
		{"within a second", []int64{10, 2, 10, 10}, 1500 * time.Millisecond, 0},
	}
	for _, row := range rows {
		var result load.Result
		for _, n := range row.inTime {
			result.Series = append(result.Series, load.SecondCounts{Sent: 10, InTime: n})
		}
		if got := recovery(result, row.from); got != row.want {
			t.Errorf("%s: got %v, want %v", row.name, got, row.want)
		}
	}
}

// TestWorstImbalanceIsThatOfARegion checks that targets are compared with the mean of their region and of the
// keyed service only.
func TestWorstImbalanceIsThatOfARegion(t *testing.T) {
	work := map[string]int64{"desk-1": 10, "desk-2": 10, "desk-3": 10, "desk-4": 30, "desk-5": 10, "hub-1": 99}
	if got := worstImbalance(work); got != 1.5 {
		t.Errorf("got %v", got)
	}
	if got := worstImbalance(nil); got != 0 {
		t.Errorf("no work: got %v", got)
	}
}

// TestHashedWorkCountsTheWholePlan checks that the baseline of the imbalance counts every arrival of the plan.
func TestHashedWorkCountsTheWholePlan(t *testing.T) {
	plan := load.Plan{
		Entries: []string{"unused"},
		Seed:    1,
		Keys:    load.KeyPlan{Prefixes: keyPrefixes},
		Kinds:   []load.Kind{{Name: "k", Service: keyedService, Method: "GET", Share: 1, Deadline: load.Duration(time.Second)}},
		Phases:  []load.Phase{{Name: "only", Duration: load.Duration(10 * time.Second), Rate: 1000}},
	}
	var sum int64
	for _, n := range hashedWork(plan)[0] {
		sum += n
	}
	if sum < 9000 || sum > 11000 {
		t.Errorf("%d requests", sum)
	}
}

// TestFigures checks the printed form of figures with and without a baseline.
func TestFigures(t *testing.T) {
	figures := []figure{
		{name: "a.b", value: 1234.5, unit: "ms", target: "<=2", note: "(note)"},
		{name: "c", value: 0.25, unit: "s", target: "none"},
	}
	addBaseline(figures, []figure{{name: "c", value: 4}})
	want := "a.b 1.23e+03 ms baseline=none target=<=2 (note)\nc 0.25 s baseline=4 target=none\n"
	if got := figures[0].String() + "\n" + figures[1].String() + "\n"; got != want {
		t.Errorf("got %q", got)
	}
}

// TestProcessorTimeGrowsWithWork checks that the processor time of this process grows while it works.
func TestProcessorTimeGrowsWithWork(t *testing.T) {
	before, err := processorTimeOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		now, err := processorTimeOf(os.Getpid())
		if err != nil {
			t.Fatal(err)
		}
		if now > before {
			return
		}
	}
	t.Error("no processor time counted in 5 s of work")
}

// TestUnknownScenario checks that a misspelt scenario is an error and not a run without figures.
func TestUnknownScenario(t *testing.T) {
	var out bytes.Buffer
	if err := Run(context.Background(), Options{Out: &out, Scenario: "none"}); !errors.Is(err, ErrNoScenario) {
		t.Errorf("got %v", err)
	}
}

// TestSheetsNameEveryRegion checks that the sheet of each profile has one range of each service in each region.
func TestSheetsNameEveryRegion(t *testing.T) {
	for _, p := range Profiles() {
		for _, region := range []string{p.Near.name, p.Far.name} {
			if n := strings.Count(p.sheet(), ","+region+","); n != 2 {
				t.Errorf("%s: %d ranges in %s", p.Name, n, region)
			}
		}
	}
}
