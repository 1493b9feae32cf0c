#include "bench/RoutingTable.h"

#include <fmt/format.h>

namespace banyanpick {

namespace {

std::string rowName(const CellOptions &Of) {
  if (Of.Policy != "predicted")
    return Of.Policy;
  return Of.Without == "nothing" ? "ours" : "ours, no " + Of.Without;
}

double share(double Part, double Whole) { return Whole > 0 ? Part / Whole : 0; }

double goodput(const CellResult &Of) { return Of.GoodTokens / Of.Seconds; }

} // namespace

void printTable(std::ostream &Out, const std::vector<TableRow> &Rows) {
  Out << fmt::format("{:9} {:13} {:5} {:20} {:>8}", "", "scenario", "load",
                     "policy", "short:p50");
  Out << "   p95   p99 | 32k:p95 100k:p95 400k:p95  1M:p95 | slowdn missed "
         "late-ref refused  lost  goodput  Jain wasted\n";
  for (const TableRow &Row : Rows) {
    const CellResult &Got = Row.Result;
    const auto Sent = static_cast<double>(Got.Sent);
    Out << fmt::format(
        "{:9} {:13} {:4.0f}% {:20} {:8.3f} {:6.3f} {:6.3f}| {:7.2f} {:8.2f} "
        "{:8.2f} {:7.2f} | {:6.2f} {:6.4f} {:8.4f} {:7.3f} {:5} {:8.0f} "
        "{:5.3f} {:6.3f}\n",
        Row.Options.Shape.Name, Row.Options.Scenario, Row.Options.Load * 100,
        rowName(Row.Options), Got.percentile(0, 0.5), Got.percentile(0, 0.95),
        Got.percentile(0, 0.99), Got.percentile(1, 0.95),
        Got.percentile(2, 0.95), Got.percentile(3, 0.95),
        Got.percentile(4, 0.95), Row.Slowdown,
        share(static_cast<double>(Got.Missed), Sent),
        share(static_cast<double>(Got.RefusedLate), Sent),
        share(static_cast<double>(Got.Refused), Sent), Got.Lost, goodput(Got),
        Got.fairness(), share(Got.Wasted, Got.Prefilled));
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
    const CellResult &Got = Row.Result;
    Out << fmt::format("{},{},{},\"{}\"", Row.Options.Shape.Name,
                       Row.Options.Scenario, Row.Options.Load,
                       rowName(Row.Options));
    for (std::size_t Each = 0; Each < LengthBuckets.size(); ++Each)
      Out << fmt::format(",{},{},{:.4f},{:.4f},{:.4f}", Got.Offered[Each],
                         Got.InTime[Each], Got.percentile(Each, 0.5),
                         Got.percentile(Each, 0.95),
                         Got.percentile(Each, 0.99));
    Out << fmt::format(",{:.3f},{},{},{},{},{},{:.0f},{:.4f},{:.4f},{}\n",
                       Row.Slowdown, Got.Sent, Got.Refused, Got.RefusedLate,
                       Got.Missed, Got.Lost, goodput(Got), Got.fairness(),
                       share(Got.Wasted, Got.Prefilled), Got.Violations);
  }
}

} // namespace banyanpick
