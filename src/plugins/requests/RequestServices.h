/// \file
/// What the life cycle of requests uses of other plug-ins, and its settings.
#pragma once

#include "kernel/Plugin.h"

namespace banyanpick {

/// Settings of the section [requests].
struct RequestsSettings {
  Duration ResumeWindow{};  ///< How long a cut stream waits for its caller.
  Duration SweepInterval{}; ///< How often waiting requests are judged again.
  Duration RetryAfter{};    ///< Hint when nothing better is known.
  std::uint64_t CandidatesPerSweep = 0; ///< Waiting requests tried at once.
  std::uint32_t MaxAttempts = 0;

  static std::vector<SettingDeclaration> declarations();
  static RequestsSettings from(const Settings &Values);
};

/// References to the services; they live as long as the kernel.
struct RequestServices {
  explicit RequestServices(PluginContext &Context)
      : Self(Context.self()),
        Options(RequestsSettings::from(Context.settings())),
        RandomSource(Context.random()),
        CurrentCatalogue(Context.services().get<CatalogueView>()),
        Fleet(Context.services().get<FleetView>()),
        Selector(Context.services().get<UpstreamSelector>()),
        Queue(Context.services().get<DispatchQueue>()),
        Poison(Context.services().get<PoisonView>()),
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
  PoisonView &Poison;
  RetryPolicy &Retries;
  ClaimKeeper &Claims;
  GroupHolder &Groups;
  AttemptCanceller &Canceller;
  ServiceList<AdmissionGate> &Gates;
  ServiceList<RequestObserver> &Observers;

  /// The come-back hint, spread so that callers do not return in step.
  Duration retryAfter() {
    const auto Base = this->Options.RetryAfter;
    return Base + fromSeconds(inSeconds(Base) * this->RandomSource.fraction());
  }
};

} // namespace banyanpick
