/// \file
/// Hand-written fakes of the services that the requests plug-in uses.
#pragma once

#include "kernel/Plugin.h"

#include <map>

namespace banyanpick::fakes {

struct FakeCatalogue : CatalogueView {
  Catalogue Current;
  bool Ready = true;

  const Catalogue &catalogue() const override { return this->Current; }
  bool isReady() const override { return this->Ready; }
  bool isCurrent(Time) const override { return true; }
};

struct FakeFleet : FleetView {
  std::vector<Upstream> Upstreams;

  std::span<const Upstream> upstreams() const override {
    return this->Upstreams;
  }
  std::span<const std::uint32_t> enginesWith(const ModelId &) const override {
    return {};
  }
  std::span<const std::uint32_t>
  applications(const std::string &) const override {
    return {};
  }
  const Upstream *find(const UpstreamId &Id) const override {
    for (const Upstream &Candidate : this->Upstreams)
      if (Candidate.Listing.Id == Id)
        return &Candidate;
    return nullptr;
  }
};

/// Chooses the first upstream that is not excluded.
struct FakeSelector : UpstreamSelector {
  FakeFleet &Fleet;
  std::vector<UpstreamId> Group;
  bool Full = false;

  explicit FakeSelector(FakeFleet &Fleet) : Fleet(Fleet) {}

  Selection select(const Request &, const SelectionLimits &Limits, Time,
                   Actions &) override {
    if (this->Full)
      return NothingFits{false, milliseconds(5)};
    for (const Upstream &Candidate : this->Fleet.Upstreams) {
      if (Limits.Excluded.contains(Candidate.Listing.Id))
        continue;
      Selected Choice;
      Choice.Upstream = Candidate.Listing.Id;
      Choice.Group = this->Group;
      return Choice;
    }
    return NothingFits{this->Fleet.Upstreams.empty(), milliseconds(5)};
  }
};

struct FakeQueue : DispatchQueue {
  std::vector<RequestId> Waiting;

  void push(const Request &Queued, Time) override {
    this->Waiting.push_back(Queued.id());
  }
  void remove(const RequestId &Id) override { std::erase(this->Waiting, Id); }
  std::vector<RequestId> candidates(std::size_t, Time) override {
    return this->Waiting;
  }
  std::size_t size() const override { return this->Waiting.size(); }
};

struct FakeQuarantine : QuarantineView {
  bool Quarantined = false;

  bool isSuspect(const Request &, Time) const override { return false; }
  bool isQuarantined(Fingerprint, Time) const override {
    return this->Quarantined;
  }
};

struct FakeRetries : RetryPolicy {
  bool Allowed = true;

  bool mayRetry(const Request &, std::uint32_t, Time) override {
    return this->Allowed;
  }
};

/// Records the calls; the test decides the claims.
struct FakeClaims : ClaimKeeper {
  std::vector<std::string> Calls;

  void claim(const Request &, Time, Actions &) override {
    this->Calls.emplace_back("claim");
  }
  void abandon(const Request &, Time, Actions &) override {
    this->Calls.emplace_back("abandon");
  }
  void finish(const Request &, OutcomeRecord::Kind Ended, std::string_view,
              Time, Actions &) override {
    this->Calls.push_back("finish " + std::to_string(static_cast<int>(Ended)));
  }
};

struct FakeGroups : GroupHolder {
  int Acquired = 0;
  int Released = 0;

  void acquire(const Request &, const Selected &, Time, Actions &) override {
    ++this->Acquired;
  }
  void release(const RequestId &, Time, Actions &) override {
    ++this->Released;
  }
};

struct FakeCanceller : AttemptCanceller {
  std::vector<AttemptId> Cancelled;

  void cancel(const AttemptId &Id, const UpstreamId &, Time, Time,
              Actions &) override {
    this->Cancelled.push_back(Id);
  }
};

} // namespace banyanpick::fakes
