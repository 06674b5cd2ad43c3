package scale

import (
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/auburnrelay/auburnrelay/standin/store"
)

// ErrRead reports that a figure cannot be read from its source.
var ErrRead = errors.New("cannot read figure")

const (
	// ticksPerSecond is the unit of processor times in /proc, fixed by Linux.
	ticksPerSecond = 100
	// userTimeField is the index of the user time in /proc/PID/stat, counted after the
	// program's name; the system time follows.
	userTimeField = 11
	// residentPagesField is the index of the resident pages in /proc/PID/statm.
	residentPagesField = 1
	readTimeout        = 2 * time.Second
)

// parseCPU returns the user and system time in the text of /proc/PID/stat.
func parseCPU(stat string) (time.Duration, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) < userTimeField+2 {
		return 0, errors.Wrapf(ErrRead, "too few fields in stat %q", stat)
	}
	user, err := strconv.ParseInt(fields[userTimeField], 10, 64)
	if err != nil {
		return 0, errors.Wrapf(ErrRead, "parse user time: %v", err)
	}
	system, err := strconv.ParseInt(fields[userTimeField+1], 10, 64)
	if err != nil {
		return 0, errors.Wrapf(ErrRead, "parse system time: %v", err)
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// parseResident returns the resident bytes in the text of /proc/PID/statm.
func parseResident(statm string, pageBytes int) (float64, error) {
	fields := strings.Fields(statm)
	if len(fields) <= residentPagesField {
		return 0, errors.Wrapf(ErrRead, "too few fields in statm %q", statm)
	}
	pages, err := strconv.ParseInt(fields[residentPagesField], 10, 64)
	if err != nil {
		return 0, errors.Wrapf(ErrRead, "parse resident pages: %v", err)
	}
	return float64(pages) * float64(pageBytes), nil
}

// cpuTime returns the user and system time that a process of the fleet has used so far.
func cpuTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return parseCPU(string(text))
}

// residentMemory returns the resident memory of a process of the fleet in bytes.
func residentMemory(pid int) (float64, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0, errors.Wrap(err, "read resident memory")
	}
	return parseResident(string(text), os.Getpagesize())
}

// loadAverage returns the one-minute load average of the machine, or "unknown".
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(text), " ")
	return first
}

func httpGet(url string) (*http.Response, error) {
	client := http.Client{Timeout: readTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return nil, errors.Wrapf(ErrRead, "%s: %v", url, err)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Wrapf(ErrRead, "%s: status %d", url, resp.StatusCode)
	}
	return resp, nil
}

func getJSON(url string, into any) error {
	resp, err := httpGet(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), url)
}

// storeCalls returns the call counts of the store stand-in.
func storeCalls(url string) (store.StatsMessage, error) {
	var s store.StatsMessage
	err := getJSON(url+"/admin/stats", &s)
	return s, err
}

// nodeMetrics holds values read from a node's metrics.
type nodeMetrics struct {
	// cell and account are the bytes sent and received by the CellService and the
	// AccountService.
	cell, account float64
	// heap is the size in bytes of all heap objects, live or not yet swept.
	heap float64
}

// readMetrics reads the metrics of the node with the given admin URL.
func readMetrics(adminURL string) (nodeMetrics, error) {
	resp, err := httpGet(adminURL + "/metrics")
	if err != nil {
		return nodeMetrics{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nodeMetrics{}, errors.Wrapf(ErrRead, "parse metrics: %v", err)
	}
	var m nodeMetrics
	for _, metric := range families["auburnrelay_control_wire_bytes_total"].GetMetric() {
		for _, label := range metric.GetLabel() {
			switch label.GetValue() {
			case "CellService":
				m.cell += metric.GetCounter().GetValue()
			case "AccountService":
				m.account += metric.GetCounter().GetValue()
			}
		}
	}
	for _, metric := range families["go_memstats_heap_alloc_bytes"].GetMetric() {
		m.heap = metric.GetGauge().GetValue()
	}
	return m, nil
}
