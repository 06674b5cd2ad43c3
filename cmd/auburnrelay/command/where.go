package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/node/ingress"
	"github.com/auburnrelay/auburnrelay/node/sidecar"
	"github.com/auburnrelay/auburnrelay/platform"
)

var (
	// ErrNodeUnreachable reports that a node did not answer at its admin address.
	ErrNodeUnreachable = errors.New("the node does not answer")
	// ErrNoAnswer reports that a node has no answer to a question, for example because its configuration has no such
	// route.
	ErrNoAnswer = errors.New("no answer")
)

const (
	// whereTimeout is the time for the node's answer, which it gives from its memory.
	whereTimeout = 5 * time.Second
	// maxWhereBytes bounds the answer. One of 300 targets has about 100 KB.
	maxWhereBytes = 4 << 20
)

func (p *program) whereCommand() *cobra.Command {
	var asJSON bool
	var admin, key string
	c := &cobra.Command{
		Use:   "where --node ADDRESS HOST PATH [--key KEY]",
		Short: "Show where a node would send a request",
		Long: `Show where a node would send a request with the given host, path and key. Nothing is sent.

ADDRESS is the admin address (host and port) of a running "auburnrelay sidecar". The
answer is that of this node, at this moment: the route, its services and homes, the
owner of the key or the targets of a shared service, why some get no such request, what
the node has measured of the others and how long ago, and which one it would choose.`,
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			values := url.Values{"host": {args[0]}, "path": {args[1]}}
			if c.Flags().Changed("key") {
				if _, err := platform.ParseKey(key); err != nil {
					return errors.Mark(err, ErrUsage)
				}
				values.Set("key", key)
			}
			if admin == "" {
				return errors.Wrap(ErrUsage, "no node: give --node ADDRESS")
			}
			w, err := p.askWhere(c.Context(), admin, values)
			if err != nil {
				return err
			}
			return p.printWhere(w, asJSON)
		},
	}
	c.Flags().StringVar(&admin, "node", "", "the node's admin address")
	c.Flags().StringVar(&key, "key", "", "the request's key; none by default")
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return c
}

func (p *program) askWhere(ctx context.Context, admin string, values url.Values) (ingress.Whereabouts, error) {
	var w ingress.Whereabouts
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+sidecar.WherePath+"?"+values.Encode(), nil)
	if err != nil {
		return w, errors.Wrapf(ErrUsage, "malformed address %q", admin)
	}
	response, err := p.HTTP.Do(request)
	if err != nil {
		return w, errors.Mark(errors.Wrapf(err, "node at %s", admin), ErrNodeUnreachable)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWhereBytes))
	if err != nil {
		return w, errors.Mark(errors.Wrapf(err, "node at %s", admin), ErrNodeUnreachable)
	}
	if response.StatusCode != http.StatusOK {
		var refusal sidecar.WhereError
		if json.Unmarshal(body, &refusal) != nil || refusal.Error == "" {
			refusal.Error = "status " + response.Status + "; is this the admin address of a sidecar of this version?"
		}
		return w, errors.Wrapf(ErrNoAnswer, "node at %s: %s", admin, refusal.Error)
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return w, errors.Wrapf(ErrNoAnswer, "node at %s: malformed answer: %v", admin, err)
	}
	return w, nil
}

func (p *program) printWhere(w ingress.Whereabouts, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(p.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(w)
	}
	homes := "any region"
	if len(w.Homes) > 0 {
		homes = strings.Join(w.Homes, ", ")
	}
	_ = p.printf("route %s, %s, homes: %s; asked in region %s\n", w.Route, w.Kind, homes, w.Region)
	confirmed := "confirmed"
	if !w.Confirmed {
		confirmed = "not confirmed to be the latest"
	}
	_ = p.printf("configuration %d, %s\n", w.Config, confirmed)
	for _, place := range w.Places {
		if err := p.printPlace(place); err != nil {
			return err
		}
	}
	return nil
}

func (p *program) printPlace(place ingress.Place) error {
	kind := "shared"
	if place.Keyed && place.Key != nil {
		kind = fmt.Sprintf("key %d, table version %d", *place.Key, place.Table)
	}
	_ = p.printf("\nservice %s (%.0f %% of the route), %s\n", place.Service, 100*place.Share, kind)
	options := place.Candidates
	if place.Owner != nil {
		options = []ingress.Option{*place.Owner}
	}
	t := tabwriter.NewWriter(p.Out, 0, 0, 2, ' ', 0)
	if len(options) > 0 {
		_, _ = fmt.Fprintln(t, "node\ttarget\tregion\tdomain\tstate\tslots\tin flight\tlatency ms\tmeasured ms ago\tchance")
	}
	for _, o := range options {
		latency, age := "-", "-"
		if o.LatencyMillis != nil && o.MeasuredMillisAgo != nil {
			latency, age = fmt.Sprintf("%.1f", *o.LatencyMillis), fmt.Sprint(*o.MeasuredMillisAgo)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%.2f\n", o.Node, o.Target, o.Region, o.FailureDomain, stateOf(o),
			o.Slots, o.InFlight, latency, age, o.Chance)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if place.Chosen == "" {
		return p.printf("%s\n", place.Why)
	}
	return p.printf("to %s: %s\n", place.Chosen, place.Why)
}

// stateOf describes what keeps requests from a target, or slows them.
func stateOf(o ingress.Option) string {
	states := []string{"ready"}
	if o.Excluded != "" {
		states[0] = "excluded: " + o.Excluded
	}
	if o.Cold {
		states = append(states, "cold")
	}
	if o.AvoidedMillis > 0 {
		states = append(states, fmt.Sprintf("avoided for %d ms", o.AvoidedMillis))
	}
	if o.Limit != nil {
		states = append(states, fmt.Sprintf("limited to %g/s", *o.Limit))
	}
	return strings.Join(states, ", ")
}
