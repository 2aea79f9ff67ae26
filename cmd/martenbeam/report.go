package main

// The result of a run: its report as text and as JSON, and the exit code for its verdict.

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"martenbeam/internal/lab"
)

// verdictError returns nil if a run passed. Otherwise it prints the reason and returns the error with the exit code.
func verdictError(o *output, report *lab.Report) error {
	switch report.Verdict {
	case lab.Inconclusive:
		fmt.Fprintf(o.stderr, "void: the lab itself was late (99th percentile %.1f ms) because the machine has too little processor time; no verdict\n",
			report.LabLateness.P99)
		return exitCodeError(exitInconclusive)
	case lab.Crashed:
		fmt.Fprintln(o.stderr, "crashed:", report.Crash)
		return exitCodeError(exitCrashed)
	case lab.Violated:
		if violation := report.Rules.First; violation != nil {
			fmt.Fprintf(o.stderr, "broken %d times, first at %.3f s: %s: %s\n",
				report.Rules.Violations, violation.At.Seconds(), violation.Rule, violation.Text)
		}
		if report.Rules.Shared != "" {
			fmt.Fprintln(o.stderr, "broken:", report.Rules.Shared)
		}
		if report.Rules.History != nil {
			lab.WriteHistory(o.stderr, report.Rules.History)
		}
		return exitCodeError(exitViolated)
	}
	return nil
}

// writeJSON writes a value to a file as JSON. It writes a temporary file first and renames it, so the file is always complete.
func writeJSON(file string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(file+".part", append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(file+".part", file)
}

// printReport prints a report as text.
func printReport(w io.Writer, report *lab.Report) {
	fmt.Fprintf(w, "\n%s, seed %d: %d agents, %d backends, %d requests in %.0f s (the first %.0f s don't count)\n",
		report.Scenario, report.Seed, report.Agents, report.Backends, report.Offered, report.DurationSeconds, report.WarmUpSeconds)
	fmt.Fprintf(w, "  served in aim   %6.2f%% of the worth; worst 10 s %.2f%% from %d s\n",
		100*report.ServedInObjective, 100*report.Worst10s, report.Worst10sAt)
	fmt.Fprintf(w, "  refused %.2f%%, failed %.2f%%, lost %d; %.3f attempts a request, %.1f%% of them to another zone\n",
		100*report.Rejected, 100*report.Failed, report.Lost, report.Attempts, 100*report.CrossZone)
	switch failoverSeconds := report.AvoidedAfter; {
	case failoverSeconds == nil:
	case *failoverSeconds < 0:
		fmt.Fprintln(w, "  zones out of reach were sent 1% or more of first attempts until the end")
	default:
		fmt.Fprintf(w, "  zones out of reach were sent under 1%% of first attempts after %.1f s\n", *failoverSeconds)
	}
	fmt.Fprintf(w, "  latency of what was served: p50 %.0f ms, p99 %.0f ms, p99.9 %.0f ms\n",
		report.Latency.P50, report.Latency.P99, report.Latency.P999)
	fmt.Fprintf(w, "  agents: at most %.0f MB and %d descriptors, %.1f processor seconds together\n",
		report.Agent.RSS, report.Agent.FDs, report.Agent.CPU)
	if hubs := report.Hubs; hubs != nil {
		fmt.Fprintf(w, "  %d hubs: at most %.0f MB and %d descriptors, %.1f processor seconds together, %.0f bytes a second each\n",
			hubs.Hubs, hubs.RSS, hubs.FDs, hubs.CPU, hubs.Bytes)
	}
	if shared := report.Shared; shared != nil && shared.Settings != nil {
		fmt.Fprintf(w, "  settings: %d given, at the last agent after %.1f s (%.1f s in reach of a hub); behind at the end: %d\n",
			shared.Settings.Published, shared.Settings.SpreadTime, shared.Settings.UnservedTime, shared.Settings.Lagging)
	}
	fmt.Fprintf(w, "  lab late by p50 %.2f ms, p99 %.2f ms; cold backends pushed over: %d\n",
		report.LabLateness.P50, report.LabLateness.P99, report.OverloadedBackends)
	fmt.Fprintf(w, "  rules: %s\n", report.Verdict)
}
