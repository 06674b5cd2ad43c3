package ledger

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/account"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	pb "github.com/auburnrelay/auburnrelay/wire/gen/auburnrelay/v1"
)

func batchToWire(cluster, cell string, b account.Batch) *pb.ReportRequest {
	request := &pb.ReportRequest{
		Cluster: cluster, Cell: cell, Node: b.Node, Incarnation: b.Incarnation, Oldest: b.Oldest,
	}
	for _, r := range b.Reports {
		request.Reports = append(request.Reports, reportToWire(r))
	}
	return request
}

func reportToWire(r account.Report) *pb.AccountReport {
	report := &pb.AccountReport{
		Number: r.Number, SinceMs: r.Since.UnixMilli(), UntilMs: r.Until.UnixMilli(), Final: r.Final,
	}
	for _, c := range r.Counts {
		report.Counts = append(report.Counts, &pb.AccountCount{
			Service: c.Service, Range: uint64(c.Range), From: c.From, To: c.To, SheetVersion: c.Sheet,
			SheetLine: uint32(c.SheetLine), Answered: c.Answered, NotRun: c.NotRun, Unknown: c.Unknown,
		})
	}
	return report
}

func batchFromWire(request *pb.ReportRequest) account.Batch {
	process := account.Process{Node: request.GetNode(), Incarnation: request.GetIncarnation()}
	b := account.Batch{Process: process, Oldest: request.GetOldest()}
	for _, r := range request.GetReports() {
		b.Reports = append(b.Reports, reportFromWire(process, r))
	}
	return b
}

func reportFromWire(process account.Process, r *pb.AccountReport) account.Report {
	report := account.Report{
		Process: process, Number: r.GetNumber(), Final: r.GetFinal(),
		Since: time.UnixMilli(r.GetSinceMs()).UTC(), Until: time.UnixMilli(r.GetUntilMs()).UTC(),
	}
	for _, c := range r.GetCounts() {
		report.Counts = append(report.Counts, account.Count{
			Line: account.Line{
				Service: c.GetService(), Range: keyspace.RangeID(c.GetRange()), From: c.GetFrom(), To: c.GetTo(),
				Sheet: c.GetSheetVersion(), SheetLine: int(c.GetSheetLine()),
			},
			Totals: account.Totals{Answered: c.GetAnswered(), NotRun: c.GetNotRun(), Unknown: c.GetUnknown()},
		})
	}
	return report
}
