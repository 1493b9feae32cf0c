#include "metrics/Metrics.h"

#include <cmath>
#include <fmt/format.h>

namespace banyanpick {

namespace {

using Kind = RecordMeasurement::Kind;

/// All histograms have the same buckets, for values in seconds and in tokens:
/// five buckets a decade, from ten microseconds to ten million tokens.
constexpr double LowestBound = 1e-5;
constexpr double HighestBound = 1e7;
constexpr unsigned BucketsPerDecade = 5;
constexpr unsigned Decades = 12;
constexpr std::string_view Prefix = "banyanpick_";
constexpr std::string_view OverflowLabel = "other";

std::string metricName(std::string_view BaseName, Kind MetricKind) {
  std::string Name(Prefix);
  for (const char Character : BaseName)
    Name +=
        std::isalnum(static_cast<unsigned char>(Character)) ? Character : '_';
  if (MetricKind == Kind::Count && !Name.ends_with("_total"))
    Name += "_total";
  return Name;
}

std::string escaped(std::string_view Label) {
  std::string Result;
  for (const char Character : Label) {
    if (Character == '\n') {
      Result += "\\n";
      continue;
    }
    if (Character == '"' || Character == '\\')
      Result += '\\';
    Result += Character;
  }
  return Result;
}

std::string_view typeName(Kind MetricKind) {
  switch (MetricKind) {
  case Kind::Count:
    return "counter";
  case Kind::Gauge:
    return "gauge";
  case Kind::Histogram:
    return "histogram";
  }
  return "untyped";
}

/// Returns the entry of the label, or that of OverflowLabel for a new label
/// when the map is full.
template <class Map>
auto &findOrAdd(Map &Entries, std::string_view Label, std::size_t MaxLabels) {
  const auto Found = Entries.find(Label);
  if (Found != Entries.end())
    return Found->second;
  const bool Full = Entries.size() >= MaxLabels;
  return Entries[std::string(Full ? OverflowLabel : Label)];
}

std::string labelText(std::string_view Label, std::string_view Bound = {}) {
  std::string Labels;
  if (!Label.empty())
    Labels = fmt::format("label=\"{}\"", escaped(Label));
  if (!Bound.empty())
    Labels += fmt::format("{}le=\"{}\"", Labels.empty() ? "" : ",", Bound);
  return Labels.empty() ? "" : "{" + Labels + "}";
}

} // namespace

void Metrics::record(const RecordMeasurement &Measured) {
  if (std::isnan(Measured.Value))
    return;
  const std::lock_guard Lock(this->Mutex);
  auto Found = this->Families.find(Measured.Name);
  if (Found == this->Families.end()) {
    Found = this->Families.emplace(Measured.Name, Family()).first;
    Found->second.Kind = Measured.As;
  }
  Family &Target = Found->second;
  switch (Target.Kind) {
  case Kind::Count:
    findOrAdd(Target.Numbers, Measured.Label, LabelsPerName) += Measured.Value;
    return;
  case Kind::Gauge:
    findOrAdd(Target.Numbers, Measured.Label, LabelsPerName) = Measured.Value;
    return;
  case Kind::Histogram:
    fill(Target, Measured.Label, Measured.Value);
    return;
  }
}

void Metrics::fill(Family &Target, std::string_view Label, double Value) {
  Distribution &Entry = findOrAdd(Target.Distributions, Label, LabelsPerName);
  if (Entry.Count == 0)
    Entry.Buckets = Counts(std::make_tuple(
        LogAxis(BucketsPerDecade * Decades, LowestBound, HighestBound)));
  Entry.Buckets(Value);
  Entry.Sum += Value;
  ++Entry.Count;
}

std::string Metrics::prometheusText() const {
  const std::lock_guard Lock(this->Mutex);
  std::string Text;
  for (const auto &[BaseName, Source] : this->Families) {
    const std::string Name = metricName(BaseName, Source.Kind);
    Text += fmt::format("# TYPE {} {}\n", Name, typeName(Source.Kind));
    if (Source.Kind == Kind::Histogram)
      writeDistributions(Text, Name, Source);
    else
      writeNumbers(Text, Name, Source);
  }
  return Text;
}

void Metrics::writeNumbers(std::string &Text, const std::string &Name,
                           const Family &Source) {
  for (const auto &[Label, Value] : Source.Numbers)
    Text += fmt::format("{}{} {}\n", Name, labelText(Label), Value);
}

void Metrics::writeDistributions(std::string &Text, const std::string &Name,
                                 const Family &Source) {
  for (const auto &[Label, Entry] : Source.Distributions) {
    const auto &Axis = Entry.Buckets.axis();
    double Cumulative = Entry.Buckets.at(-1);
    for (int Index = 0; Index < Axis.size(); ++Index) {
      Cumulative += Entry.Buckets.at(Index);
      const std::string Bound = fmt::format("{:.3g}", Axis.bin(Index).upper());
      Text += fmt::format("{}_bucket{} {}\n", Name, labelText(Label, Bound),
                          Cumulative);
    }
    Text += fmt::format("{}_bucket{} {}\n", Name, labelText(Label, "+Inf"),
                        Entry.Count);
    Text += fmt::format("{}_sum{} {}\n", Name, labelText(Label), Entry.Sum);
    Text += fmt::format("{}_count{} {}\n", Name, labelText(Label), Entry.Count);
  }
}

} // namespace banyanpick
