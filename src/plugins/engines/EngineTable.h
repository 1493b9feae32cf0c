/// \file
/// The registered upstreams and what became of them.
#pragma once

#include "kernel/GatewayServices.h"

#include <map>
#include <optional>
#include <string>
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
  enum class Effect { None, Changed, Removed };
  struct Applied {
    Effect Is = Effect::None;
    /// The earlier life that ended because the upstream started anew, or the
    /// life that is gone.
    std::optional<UpstreamId> Ended;
    bool Restarted = false; ///< Ended was followed by a new life.
  };

  /// \p Doubtful: the store was away lately, so that a removal may only mean
  /// that the upstream could not renew its registration.
  ///
  /// Changes of one upstream are ordered by their offsets; one that tells of an
  /// earlier life than is known changes nothing, so a late write of a life that
  /// is over cannot bring it back.
  Applied apply(const EngineChange &Change, bool Doubtful, Time Now);

  /// The upstream itself says which life it is in; gives the earlier one that
  /// is over by it. The new life is used once it is registered.
  std::optional<UpstreamId> noteIncarnation(const UpstreamId &Life, Time Now);

  /// A listing of everything up to \p UpTo; gives those that it does not name.
  std::vector<EngineChange> missingFrom(std::span<const EngineChange> Listing,
                                        LogOffset UpTo) const;

  /// Another upstream has the address. True when that is news.
  bool setLeaving(const UpstreamId &Id, Time Now);

  /// The upstream itself says that it leaves: whatever the registry has said or
  /// will say of this life of it, it does not come back. True when its standing
  /// is another now.
  bool noteLeaving(const UpstreamId &Id, Time Now);

  /// Forgets what is due; gives the upstreams that are gone by it.
  std::vector<UpstreamId> expire(Time Now);
  /// When age() has something to do.
  Time nextExpiry() const { return this->NextAge; }

  const RegisteredEngine *find(const UpstreamId &Id) const;
  std::span<const RegisteredEngine *const>
  ofService(const ServiceId &Service) const;
  std::size_t size() const { return this->Engines.size(); }

  /// Removals before this offset may be forgotten.
  LogOffset forgottenTo() const { return this->ForgottenTo; }

  /// Of the registrations, however often they were renewed. Equal at hosts that
  /// know the same, whatever each believes of missing ones.
  std::uint64_t digest() const { return this->Digest; }

  /// Changes at or after the offset, removals of late among them; renewals are
  /// none.
  std::vector<EngineChange> changesFrom(LogOffset From) const;

private:
  /// By the upstream's name: all of its lives.
  using Name = std::string;
  struct Removal {
    LogOffset Offset = 0;
    Time At{};
    std::uint64_t BornMs = 0; ///< No earlier life comes back.
  };

  using ByName = std::map<Name, RegisteredEngine, std::less<>>;

  /// Takes the engine into what is derived of all, or out of it while it is
  /// changed: thousands of engines register at once when hosts start, so one
  /// registration must not cost a look at all others.
  void include(const RegisteredEngine &Of);
  void exclude(const RegisteredEngine &Of);
  void erase(ByName::const_iterator At);
  void stand(RegisteredEngine &Of, EngineStanding Next, Time Now);
  EngineStanding registeredStanding(const EngineRecord &Of) const;
  std::vector<UpstreamId> endMissing(Time Now);
  void forgetRemovals(Time Now);
  Removal &noteRemoval(const Name &Of, LogOffset Offset, Time Now);
  Applied add(const EngineChange &Change, Time Now);
  Applied change(RegisteredEngine &Of, const EngineChange &Change, Time Now);
  Applied remove(const EngineChange &Change, bool Doubtful, Time Now);

  EngineTimes Times;
  ByName Engines;
  std::map<Name, Removal, std::less<>> Removed;
  /// Lives that said that they leave, and when. Kept beyond their registration,
  /// which may vanish and come back while they still serve.
  std::map<UpstreamId, Time> SaidLeaving;
  LogOffset ForgottenTo = 0;
  std::map<ServiceId, std::vector<const RegisteredEngine *>> ByService;
  std::uint64_t Digest = 0;
  Time NextAge = Never;
  Time NextForgetting = Never; ///< Of a removal.
};

} // namespace banyanpick
