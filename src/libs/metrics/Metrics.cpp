#include "metrics/Metrics.h"

#include <cmath>
#include <fmt/format.h>

namespace banyanpick {

namespace {

using Kind = RecordMeasurement::Kind;

/// Histograms cover seconds and tokens alike: five buckets a decade from ten
/// microseconds to ten million tokens.
constexpr double LowestBound = 1e-5;
constexpr double HighestBound = 1e7;
constexpr unsigned BucketsPerDecade = 5;
constexpr unsigned Decades = 12;
constexpr std::string_view Prefix = "banyanpick_";
constexpr std::string_view Others = "other";

std::string metricName(std::string_view Given, Kind As) {
  std::string Name(Prefix);
  for (const char Each : Given)
    Name += std::isalnum(static_cast<unsigned char>(Each)) ? Each : '_';
  if (As == Kind::Count && !Name.ends_with("_total"))
    Name += "_total";
  return Name;
}

std::string escaped(std::string_view Label) {
  std::string Result;
  for (const char Each : Label) {
    if (Each == '\n') {
      Result += "\\n";
      continue;
    }
    if (Each == '"' || Each == '\\')
      Result += '\\';
    Result += Each;
  }
  return Result;
}

std::string_view typeName(Kind As) {
  switch (As) {
  case Kind::Count:
    return "counter";
  case Kind::Gauge:
    return "gauge";
  case Kind::Histogram:
    return "histogram";
  }
  return "untyped";
}

/// The label's place in the map, or that of the others when it is full.
template <class Map>
auto &placeOf(Map &Into, std::string_view Label, std::size_t Most) {
  const auto Found = Into.find(Label);
  if (Found != Into.end())
    return Found->second;
  const bool Full = Into.size() >= Most;
  return Into[std::string(Full ? Others : Label)];
}

std::string braces(std::string_view Label, std::string_view Bound = {}) {
  std::string Inside;
  if (!Label.empty())
    Inside = fmt::format("label=\"{}\"", escaped(Label));
  if (!Bound.empty())
    Inside += fmt::format("{}le=\"{}\"", Inside.empty() ? "" : ",", Bound);
  return Inside.empty() ? "" : "{" + Inside + "}";
}

} // namespace

void Metrics::record(const RecordMeasurement &Measured) {
  if (std::isnan(Measured.Value))
    return;
  const std::lock_guard Lock(this->Guard);
  auto Found = this->Families.find(Measured.Name);
  if (Found == this->Families.end()) {
    Found = this->Families.emplace(Measured.Name, Family()).first;
    Found->second.Kind = Measured.As;
  }
  Family &Into = Found->second;
  switch (Into.Kind) {
  case Kind::Count:
    placeOf(Into.Numbers, Measured.Label, LabelsPerName) += Measured.Value;
    return;
  case Kind::Gauge:
    placeOf(Into.Numbers, Measured.Label, LabelsPerName) = Measured.Value;
    return;
  case Kind::Histogram:
    fill(Into, Measured.Label, Measured.Value);
    return;
  }
}

void Metrics::fill(Family &Into, std::string_view Label, double Value) {
  Distribution &Place = placeOf(Into.Distributions, Label, LabelsPerName);
  if (Place.Count == 0)
    Place.Buckets = Counts(std::make_tuple(
        LogAxis(BucketsPerDecade * Decades, LowestBound, HighestBound)));
  Place.Buckets(Value);
  Place.Sum += Value;
  ++Place.Count;
}

std::string Metrics::prometheusText() const {
  const std::lock_guard Lock(this->Guard);
  std::string Text;
  for (const auto &[Given, From] : this->Families) {
    const std::string Name = metricName(Given, From.Kind);
    Text += fmt::format("# TYPE {} {}\n", Name, typeName(From.Kind));
    if (From.Kind == Kind::Histogram)
      writeDistributions(Text, Name, From);
    else
      writeNumbers(Text, Name, From);
  }
  return Text;
}

void Metrics::writeNumbers(std::string &Text, const std::string &Name,
                           const Family &From) {
  for (const auto &[Label, Value] : From.Numbers)
    Text += fmt::format("{}{} {}\n", Name, braces(Label), Value);
}

void Metrics::writeDistributions(std::string &Text, const std::string &Name,
                                 const Family &From) {
  for (const auto &[Label, Each] : From.Distributions) {
    const auto &Axis = Each.Buckets.axis();
    double Below = Each.Buckets.at(-1);
    for (int Index = 0; Index < Axis.size(); ++Index) {
      Below += Each.Buckets.at(Index);
      const std::string Bound = fmt::format("{:.3g}", Axis.bin(Index).upper());
      Text +=
          fmt::format("{}_bucket{} {}\n", Name, braces(Label, Bound), Below);
    }
    Text += fmt::format("{}_bucket{} {}\n", Name, braces(Label, "+Inf"),
                        Each.Count);
    Text += fmt::format("{}_sum{} {}\n", Name, braces(Label), Each.Sum);
    Text += fmt::format("{}_count{} {}\n", Name, braces(Label), Each.Count);
  }
}

} // namespace banyanpick
