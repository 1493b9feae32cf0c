/// \file
/// The result of a measurement as a table and as CSV.
#pragma once

#include "bench/RoutingCell.h"

#include <ostream>
#include <string>
#include <vector>

namespace banyanpick {

/// One row: the runs of all seeds together.
struct TableRow {
  CellOptions Options;
  CellResult Result;
  /// p95 of short requests against the same runs without the long ones; 0
  /// when not measured.
  double Slowdown = 0;
};

void printTable(std::ostream &Out, const std::vector<TableRow> &Rows);
void writeCsv(std::ostream &Out, const std::vector<TableRow> &Rows);

} // namespace banyanpick
