/// \file
/// Prints the results of a measurement as a table and as CSV.
#pragma once

#include "bench/RoutingCell.h"

#include <ostream>
#include <string>
#include <vector>

namespace banyanpick {

/// One row of the table: the merged runs of all seeds.
struct TableRow {
  CellOptions Options;
  CellResult Result;
  /// Ratio of the p95 time to first token of short requests to the p95 of the
  /// same runs without long prompts; 0 if not measured.
  double Slowdown = 0;
};

void printTable(std::ostream &Out, const std::vector<TableRow> &Rows);
void writeCsv(std::ostream &Out, const std::vector<TableRow> &Rows);

} // namespace banyanpick
