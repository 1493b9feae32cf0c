/// \file
/// The settings of the requests plug-in and the services that it uses.
#pragma once

#include "kernel/Plugin.h"

namespace banyanpick {

/// The settings of section [requests].
struct RequestsSettings {
  Duration ResumeWindow{};  ///< How long a disconnected stream is kept.
  Duration SweepInterval{}; ///< Longest time between two sweeps.
  Duration RetryAfter{};    ///< Retry delay if no better one is known.
  std::uint64_t CandidatesPerSweep = 0; ///< Waiting requests per sweep.
  std::uint32_t MaxAttempts = 0;

  static std::vector<SettingDeclaration> declarations();
  static RequestsSettings from(const Settings &Values);
};

/// References to the services. They remain valid as long as the kernel.
struct RequestServices {
  explicit RequestServices(PluginContext &Context)
      : Self(Context.self()),
        Options(RequestsSettings::from(Context.settings())),
        RandomSource(Context.random()),
        CurrentCatalogue(Context.services().get<CatalogueView>()),
        Fleet(Context.services().get<FleetView>()),
        Selector(Context.services().get<UpstreamSelector>()),
        Queue(Context.services().get<DispatchQueue>()),
        Quarantine(Context.services().get<QuarantineView>()),
        Retries(Context.services().get<RetryPolicy>()),
        Claims(Context.services().get<ClaimKeeper>()),
        Groups(Context.services().get<GroupHolder>()),
        Canceller(Context.services().get<AttemptCanceller>()),
        Gates(Context.services().list<AdmissionGate>()),
        Observers(Context.services().list<RequestObserver>()) {}

  const Identity &Self;
  RequestsSettings Options;
  Random &RandomSource;
  CatalogueView &CurrentCatalogue;
  FleetView &Fleet;
  UpstreamSelector &Selector;
  DispatchQueue &Queue;
  QuarantineView &Quarantine;
  RetryPolicy &Retries;
  ClaimKeeper &Claims;
  GroupHolder &Groups;
  AttemptCanceller &Canceller;
  ServiceList<AdmissionGate> &Gates;
  ServiceList<RequestObserver> &Observers;

  /// Returns the default retry delay, randomized so that callers do not retry
  /// at the same time.
  Duration retryAfter() {
    const auto Base = this->Options.RetryAfter;
    return Base + fromSeconds(inSeconds(Base) * this->RandomSource.fraction());
  }
};

} // namespace banyanpick
