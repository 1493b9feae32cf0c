/// \file
/// The registered upstreams and what became of them.
#pragma once

#include "kernel/GatewayServices.h"

#include <map>
#include <vector>

namespace banyanpick {

/// How long things are remembered.
struct EngineTimes {
  /// A registration that vanished beside an outage of the store comes back
  /// within so long if its upstream lives.
  Duration MissingFor{};
  /// Removed upstreams are told to peers for so long.
  Duration KeepRemoved{};
};

/// Merges changes from the store and from peers by their offsets.
class EngineTable {
public:
  EngineTable() = default;
  explicit EngineTable(EngineTimes Times) : Times(Times) {}

  /// What a change did to one upstream.
  enum class Effect { None, Changed, Gone };

  /// \p Doubtful: the store was away lately, so that a removal may only mean
  /// that the upstream could not renew its registration.
  Effect apply(const EngineChange &Change, bool Doubtful, Time Now);

  /// A listing of everything up to \p UpTo; gives those that it does not name.
  std::vector<EngineChange> missingFrom(std::span<const EngineChange> Listing,
                                        LogOffset UpTo) const;

  /// Another upstream has the address. True when that is news.
  bool setLeaving(const UpstreamId &Id, Time Now);

  /// Forgets what is due; gives the upstreams that are gone by it.
  std::vector<UpstreamId> age(Time Now);
  /// When age() has something to do.
  Time nextAge() const;

  const KnownEngine *find(const UpstreamId &Id) const;
  std::span<const KnownEngine *const> ofService(const ServiceId &Service) const;
  std::size_t size() const { return this->Engines.size(); }

  /// Removals before this offset may be forgotten.
  LogOffset forgottenTo() const { return this->ForgottenTo; }

  /// Changes at or after the offset, removals of late among them.
  std::vector<EngineChange> changesFrom(LogOffset From) const;

private:
  struct Removal {
    LogOffset Offset = 0;
    Time At{};
  };

  void index();
  Effect remove(const EngineChange &Change, bool Doubtful, Time Now);

  EngineTimes Times;
  std::map<UpstreamId, KnownEngine> Engines;
  std::map<UpstreamId, Removal> Removed;
  LogOffset ForgottenTo = 0;
  std::map<ServiceId, std::vector<const KnownEngine *>> ByService;
};

} // namespace banyanpick
