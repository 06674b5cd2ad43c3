package command

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"strconv"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/cmd/auburnrelay/audit"
	"github.com/auburnrelay/auburnrelay/core/account"
)

// ErrAccount reports an account with faulty segments; the output lists the faults.
var ErrAccount = errors.New("inconsistent account")

// accountOptions are the flags of "account".
type accountOptions struct {
	month, service string
	asCSV, asJSON  bool
}

func (p *program) accountCommand() *cobra.Command {
	var o accountOptions
	c := &cobra.Command{
		Use:   "account --month 2026-11",
		Short: "Print the monthly account of outcomes",
		Long: `Print how the requests of a month ended, for each service, range, sheet version and
sheet line, with the segments in the store from which each row comes. Gaps are periods
of a process whose counts may be missing; they are listed and never estimated. If a
segment is faulty, it is named, the rest of the account is printed, and the command fails.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return p.withAccount(c.Context(), o.month, func(m audit.Month) error { return p.printAccount(m, o) })
		},
	}
	c.PersistentFlags().StringVar(&o.month, "month", "", "month, such as 2026-11 (default: the current month)")
	c.Flags().StringVar(&o.service, "service", "", "print this service only")
	c.Flags().BoolVar(&o.asCSV, "csv", false, "print as CSV")
	c.Flags().BoolVar(&o.asJSON, "json", false, "print as JSON")
	c.MarkFlagsMutuallyExclusive("csv", "json")
	c.AddCommand(p.accountVerifyCommand(&o))
	return c
}

func (p *program) accountVerifyCommand(o *accountOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "verify --month 2026-11",
		Short: "Verify a month's segments and list those that are changed, missing or duplicated",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return p.withAccount(c.Context(), o.month, p.printVerified)
		},
	}
}

func (p *program) withAccount(ctx context.Context, month string, do func(audit.Month) error) error {
	store, err := p.openStore()
	if err != nil {
		return err
	}
	if month == "" {
		month = account.MonthOf(p.Now())
	}
	m, err := audit.Reader{Store: store, Now: p.Now}.Read(ctx, month)
	if err != nil {
		return err
	}
	return do(m)
}

func (p *program) printVerified(m audit.Month) error {
	for _, c := range m.Cells {
		_ = p.printf("cell %s, %s: %d segments, %d faults, %d gaps\n", c.Name, m.Month, c.Segments, len(c.Faults), len(c.Gaps))
	}
	return p.printFindings(m)
}

// printFindings prints gaps and faults. It returns ErrAccount if there are faults.
func (p *program) printFindings(m audit.Month) error {
	for _, c := range m.Cells {
		for _, gap := range c.Gaps {
			_ = p.printf("gap: %s\n", audit.DescribeGap(gap))
		}
	}
	for _, fault := range m.Faults() {
		_ = p.printf("fault: %s\n", fault)
	}
	return faultError(m)
}

func faultError(m audit.Month) error {
	if n := len(m.Faults()); n > 0 {
		return errors.Wrapf(ErrAccount, "account of %s: %d faults", m.Month, n)
	}
	return nil
}

func (p *program) printAccount(m audit.Month, o accountOptions) error {
	m.Rows = filterRows(m.Rows, o.service)
	switch {
	case o.asJSON:
		return p.printAccountJSON(m)
	case o.asCSV:
		return p.printAccountCSV(m)
	default:
		return p.printAccountTable(m)
	}
}

func filterRows(rows []account.Row, service string) []account.Row {
	if service == "" {
		return rows
	}
	var kept []account.Row
	for _, row := range rows {
		if row.Service == service {
			kept = append(kept, row)
		}
	}
	return kept
}

func (p *program) printAccountTable(m audit.Month) error {
	_ = p.printf("account of %s\n", m.Month)
	w := tabwriter.NewWriter(p.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "service\tfrom\tto\tsheet\tline\tanswered\tnot run\tunknown\tsegments")
	var sum account.Totals
	for _, row := range m.Rows {
		sum.Merge(row.Totals)
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", row.Service, row.From, row.To, row.Sheet, row.SheetLine,
			row.Answered, row.NotRun, row.Unknown, account.DescribeSegments(row.Segments))
	}
	_, _ = fmt.Fprintf(w, "total\t\t\t\t\t%d\t%d\t%d\t\n", sum.Answered, sum.NotRun, sum.Unknown)
	if err := w.Flush(); err != nil {
		return err
	}
	return p.printFindings(m)
}

func (p *program) printAccountCSV(m audit.Month) error {
	w := csv.NewWriter(p.Out)
	records := [][]string{{"kind", "service", "from", "to", "sheet", "line", "answered", "not_run", "unknown", "segments", "detail"}}
	for _, row := range m.Rows {
		records = append(records, []string{
			"count", row.Service, row.From, row.To, formatInt(row.Sheet), formatInt(int64(row.SheetLine)),
			formatInt(row.Answered), formatInt(row.NotRun), formatInt(row.Unknown), account.DescribeSegments(row.Segments), "",
		})
	}
	for _, c := range m.Cells {
		for _, gap := range c.Gaps {
			records = append(records, findingRecord("gap", gap.Segment, audit.DescribeGap(gap)))
		}
	}
	for _, fault := range m.Faults() {
		records = append(records, findingRecord("fault", fault.Segment, fault.String()))
	}
	if err := w.WriteAll(records); err != nil {
		return err
	}
	return faultError(m)
}

func findingRecord(kind string, segment account.ID, detail string) []string {
	return []string{kind, "", "", "", "", "", "", "", "", account.DescribeSegments([]account.ID{segment}), detail}
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

func (p *program) printAccountJSON(m audit.Month) error {
	encoder := json.NewEncoder(p.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(m); err != nil {
		return err
	}
	return faultError(m)
}
