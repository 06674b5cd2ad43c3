package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/cmd/auburnrelay/explain"
)

func (p *program) explainCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Explain the outcome of a request from the nodes' logs",
		Long: `Explain the outcome of a request from the nodes' logs.

ID is the request's id. The logs are read from the files or, if none are given, from
standard input. Pass the logs of all nodes, in any order. The output has the outcome of the
request and an explanation of its reason, the log lines of the request in order of time, and
the events on the nodes and the target involved from 5 s before to 2 s after it.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := readLogs(args[1:], c.InOrStdin())
			if err != nil {
				return err
			}
			explanation, err := explain.Request(args[0], lines)
			if err != nil {
				return err
			}
			return p.printExplanation(explanation, asJSON)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return c
}

func readLogs(paths []string, input io.Reader) ([]explain.Line, error) {
	if len(paths) == 0 {
		return explain.Read(input)
	}
	var lines []explain.Line
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		more, err := explain.Read(file)
		_ = file.Close()
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func (p *program) printExplanation(s *explain.Explanation, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(p.Out)
		e.SetIndent("", "  ")
		return e.Encode(struct {
			*explain.Explanation
			Steps  []json.RawMessage `json:"steps"`
			Events []json.RawMessage `json:"events"`
		}{s, rawLines(s.Steps), rawLines(s.Events)})
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "request %s: %s %s\ncause: %s\n\nsteps\n", s.ID, s.Outcome, s.Reason, s.Cause)
	writeLines(&text, s.Steps)
	if len(s.Events) > 0 {
		text.WriteString("\nrelated events\n")
		writeLines(&text, s.Events)
	}
	if s.LeftOut > 0 {
		fmt.Fprintf(&text, "  and %d more\n", s.LeftOut)
	}
	_, err := p.Out.Write(text.Bytes())
	return errors.Wrap(err, "print")
}

// columnFields lists the fields that are not repeated because they have columns of their own.
var columnFields = []string{"time", "level", "msg", "node", "id"}

func writeLines(text *bytes.Buffer, lines []explain.Line) {
	for _, l := range lines {
		var fields map[string]json.RawMessage
		// The error is ignored because explain.Read has parsed the line as an object.
		_ = json.Unmarshal(l.Text, &fields)
		for _, name := range columnFields {
			delete(fields, name)
		}
		rest, err := json.Marshal(fields)
		if err != nil {
			rest = l.Text
		}
		fmt.Fprintf(text, "  %s  %s  %s  %s\n", l.Time.UTC().Format("15:04:05.000"), l.Node, l.Message, rest)
	}
}

func rawLines(lines []explain.Line) []json.RawMessage {
	list := make([]json.RawMessage, len(lines))
	for i, l := range lines {
		list[i] = l.Text
	}
	return list
}
