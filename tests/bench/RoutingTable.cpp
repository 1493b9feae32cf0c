#include "bench/RoutingTable.h"

#include <fmt/format.h>

namespace banyanpick {

namespace {

std::string rowName(const CellOptions &Options) {
  if (Options.Policy != "predicted")
    return Options.Policy;
  return Options.Without == "nothing" ? "ours" : "ours, no " + Options.Without;
}

double share(double Part, double Total) { return Total > 0 ? Part / Total : 0; }

double goodput(const CellResult &Result) {
  return Result.GoodTokens / Result.Seconds;
}

} // namespace

void printTable(std::ostream &Out, const std::vector<TableRow> &Rows) {
  Out << fmt::format("{:9} {:13} {:5} {:20} {:>8}", "", "scenario", "load",
                     "policy", "short:p50");
  Out << "   p95   p99 | 32k:p95 100k:p95 400k:p95  1M:p95 | slowdn missed "
         "late-ref refused  lost  goodput  Jain wasted\n";
  for (const TableRow &Row : Rows) {
    const CellResult &Measured = Row.Result;
    const auto Sent = static_cast<double>(Measured.Sent);
    Out << fmt::format(
        "{:9} {:13} {:4.0f}% {:20} {:8.3f} {:6.3f} {:6.3f}| {:7.2f} {:8.2f} "
        "{:8.2f} {:7.2f} | {:6.2f} {:6.4f} {:8.4f} {:7.3f} {:5} {:8.0f} "
        "{:5.3f} {:6.3f}\n",
        Row.Options.Shape.Name, Row.Options.Scenario, Row.Options.Load * 100,
        rowName(Row.Options), Measured.percentile(0, 0.5),
        Measured.percentile(0, 0.95), Measured.percentile(0, 0.99),
        Measured.percentile(1, 0.95), Measured.percentile(2, 0.95),
        Measured.percentile(3, 0.95), Measured.percentile(4, 0.95),
        Row.Slowdown, share(static_cast<double>(Measured.Missed), Sent),
        share(static_cast<double>(Measured.RefusedLate), Sent),
        share(static_cast<double>(Measured.Refused), Sent), Measured.Lost,
        goodput(Measured), Measured.fairness(),
        share(Measured.Wasted, Measured.Prefilled));
  }
}

void writeCsv(std::ostream &Out, const std::vector<TableRow> &Rows) {
  Out << "deployment,scenario,load,policy";
  for (const std::uint64_t Bucket : LengthBuckets)
    Out << fmt::format(",offered_{0},kept_{0},ttft_p50_{0},ttft_p95_{0},"
                       "ttft_p99_{0}",
                       Bucket);
  Out << ",short_slowdown,sent,refused,refused_late,missed,lost,"
         "goodput_tokens_per_second,fairness,wasted_prefill,violations\n";
  for (const TableRow &Row : Rows) {
    const CellResult &Measured = Row.Result;
    Out << fmt::format("{},{},{},\"{}\"", Row.Options.Shape.Name,
                       Row.Options.Scenario, Row.Options.Load,
                       rowName(Row.Options));
    for (std::size_t Index = 0; Index < LengthBuckets.size(); ++Index)
      Out << fmt::format(
          ",{},{},{:.4f},{:.4f},{:.4f}", Measured.Offered[Index],
          Measured.InTime[Index], Measured.percentile(Index, 0.5),
          Measured.percentile(Index, 0.95), Measured.percentile(Index, 0.99));
    Out << fmt::format(
        ",{:.3f},{},{},{},{},{},{:.0f},{:.4f},{:.4f},{}\n", Row.Slowdown,
        Measured.Sent, Measured.Refused, Measured.RefusedLate, Measured.Missed,
        Measured.Lost, goodput(Measured), Measured.fairness(),
        share(Measured.Wasted, Measured.Prefilled), Measured.Violations);
  }
}

} // namespace banyanpick
