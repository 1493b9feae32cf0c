/// \file
/// Replays a load of short, middle and long prompts in virtual time. The engine
/// load plug-ins of several hosts decide; engines follow the published model.
#pragma once

#include "auto/engineload/ReplayEngine.h"
#include "harness/EventQueue.h"
#include "plugins/engineload/EngineLoadPlugin.h"

#include <array>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace banyanpick {

/// A kind of prompt and its demand.
struct ReplayKind {
  double MeanTokens = 0;
  double Sigma = 0; ///< Of the log-normal distribution of sizes.
  double PerSecond = 0;
  Duration Objective{};
  Duration TimeLimit{};
  Duration MaxEventGap{};
  std::uint64_t AnswerTokens = 0;
  double Weight = 1; ///< Value of a mean answer in time.
  std::uint32_t Rank = 0;
};

/// A deployment and its load. The burst multiplies the demand of one kind.
struct ReplaySetup {
  std::size_t Hosts = 0;
  std::size_t Engines = 0;
  EngineParameters Model;
  std::array<ReplayKind, 3> Kinds; ///< Short, middle, long.
  std::size_t BurstKind = 2;
  double BurstFactor = 1;
  Duration BurstFor{};
  /// Share of the engines that lose all work and refuse more for three seconds
  /// from the middle of the burst on.
  double FailingShare = 0;
  std::string Admission = "queue";
  std::uint64_t Seed = 1;
};

/// What became of the requests of one kind.
struct ReplayCount {
  std::size_t Sent = 0;
  std::size_t InTime = 0;
  std::size_t Late = 0;    ///< The first token or a later event.
  std::size_t Refused = 0; ///< After the retry that was offered, if any.
  std::size_t GaveUp = 0;
  std::size_t Lost = 0; ///< The engine failed after the answer had begun.
  std::size_t LargestSent = 0; ///< The largest tenth of the kind.
  std::size_t LargestServed = 0;
  double Value = 0;
  double MaxValue = 0;

  ReplayCount &operator+=(const ReplayCount &Other);
  double share() const { return this->Value / std::max(this->MaxValue, 1.0); }
};

class AdmissionReplay : EngineDirectory,
                        RouteView,
                        EngineTrustView,
                        EngineQuota,
                        EngineGate {
public:
  explicit AdmissionReplay(const ReplaySetup &Setup);
  ~AdmissionReplay() override;

  /// Runs the load and returns the counts of each kind.
  std::array<ReplayCount, 3> run();

private:
  struct Host;
  /// One caller and its present attempt.
  struct Caller {
    std::size_t Kind = 0;
    std::uint64_t Tokens = 0;
    Time FirstArrivedAt{};
    Time ArrivedAt{}; ///< Of the present try.
    std::size_t At = 0;
    bool HasRetried = false;
    bool IsFinished = false;
    bool Began = false;
    bool IsLate = false;
    Time LastEventAt{};
    std::uint64_t Polls = 0; ///< Invalidates scheduled selections.
    std::size_t PartsLeft = 0;
    std::size_t Sends = 0;
    std::optional<RelayAttempt> Attempt;
    std::vector<UpstreamId> Failed;
  };

  // The services of the plug-ins.
  const RegisteredEngine *find(const UpstreamId &Id) const override;
  std::span<const RegisteredEngine *const>
  ofService(const ServiceId &) const override {
    return this->Listed;
  }
  void addressTaken(const UpstreamId &, Time, Actions &) override {}
  void noteLeaving(const UpstreamId &, std::string_view, Time,
                   Actions &) override {}
  const RouteTable *routes() const override { return this->Table.get(); }
  bool isStale(Time) const override { return false; }
  bool mayBeOutdated(Time) const override { return false; }
  ConfigurationFreshness freshness(Time) const override { return {}; }
  bool isAvoided(const UpstreamId &Id, Time Now) const override;
  std::vector<EngineWork::Distrust> distrusted(Time) const override {
    return {};
  }
  bool isLimited(const UpstreamId &) const override { return false; }
  bool hasQuota(const UpstreamId &, Time) const override { return true; }
  void requestQuota(const UpstreamId &, Time) override {}
  std::optional<Duration> quotaAvailableAfter(const UpstreamId &,
                                              Time) const override {
    return std::nullopt;
  }
  std::optional<EngineBlocked> blocked(const UpstreamId &,
                                       Time) const override {
    return std::nullopt;
  }
  bool isDiscouraged(const UpstreamId &, Time) const override { return false; }

  std::size_t indexOf(const UpstreamId &Id) const;
  const ReplayKind &kindOf(const Caller &Origin) const {
    return this->Setup.Kinds[Origin.Kind];
  }
  void scheduleArrivals();
  void arrive(std::uint64_t Id);
  void select(std::uint64_t Id);
  void selectAgain(std::uint64_t Id, Duration After);
  void send(std::uint64_t Id, const SelectedEngine &Chosen);
  void submit(std::uint64_t Id);
  bool reserveAll(std::uint64_t Id);
  void began(std::uint64_t Id);
  void eventReceived(std::uint64_t Id);
  void breakAttempt(std::uint64_t Id);
  /// Ends the attempt on all engines; the plug-in is told so.
  void endAttempt(std::uint64_t Id, const RelayOutcome &Outcome);
  void finish(std::uint64_t Id, std::size_t ReplayCount::*Outcome);
  void runPass(std::size_t Engine);
  void passEnded(std::size_t Engine);
  void failEngines(bool On);
  /// Calls \p Decision, and performs the plug-in's actions.
  using Step = std::function<void(EngineLoadPlugin &, Actions &)>;
  void decide(std::size_t At, const Step &Decision);
  void wake(std::size_t At);
  void countLargest();

  ReplaySetup Setup;
  EventQueue Queue{Time(seconds(1000))};
  std::mt19937_64 Numbers;
  std::vector<RegisteredEngine> Registered;
  std::vector<const RegisteredEngine *> Listed;
  std::unique_ptr<RouteTable> Table;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<ReplayEngine> Engines;
  std::vector<std::uint64_t> Passes; ///< Invalidates passes of failed engines.
  std::set<std::size_t> Failing;
  std::map<UpstreamId, Time> AvoidedFrom;
  std::map<std::uint64_t, Caller> Callers;
  std::set<std::uint64_t> Served;
  std::array<ReplayCount, 3> Counts;
};

/// The book cataloguing and the retail assistant of docs/design/hard-load.md.
ReplaySetup cataloguingSetup();
ReplaySetup retailSetup();

/// Returns one line for each kind, for tables.
std::string describe(const std::array<ReplayCount, 3> &Counts);

} // namespace banyanpick
