/// \file
/// The registered engines and their standing.
#pragma once

#include "kernel/GatewayServices.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanpick {

/// Retention times of the engine table.
struct EngineTimes {
  /// How long an engine stays usable after its registration vanished during an
  /// outage of the store. A live engine registers again within this time.
  Duration MissingFor{};
  /// How long removals are sent to peers.
  Duration KeepRemoved{};
};

/// Merges changes from the store and from peers by their offsets. Changes of
/// one engine are ordered by their offsets. A change of an earlier incarnation
/// is ignored, so a late write of an ended incarnation cannot restore it.
class EngineTable {
public:
  EngineTable() = default;
  explicit EngineTable(EngineTimes Times) : Times(Times) {}

  /// The effect of a change on one engine.
  enum class Effect { None, Changed, Removed };
  struct Applied {
    Effect Outcome = Effect::None;
    /// The incarnation that ended because the engine restarted or was removed.
    std::optional<UpstreamId> Ended;
    bool Restarted = false; ///< A later incarnation followed.
    /// The applied registration says that the engine is cold.
    bool IsCold = false;
  };

  /// Applies a change. \p StoreSuspect: the store was unavailable recently, so
  /// a removal may only mean that the engine could not renew its registration.
  Applied apply(const EngineChange &Change, bool StoreSuspect, Time Now);

  /// Called when the engine itself reports its incarnation. Returns the earlier
  /// incarnation that ended. The new incarnation is used once it is registered.
  std::optional<UpstreamId> noteIncarnation(const UpstreamId &Incarnation,
                                            Time Now);

  /// Returns removals for the engines that a complete listing up to \p UpTo
  /// does not name.
  std::vector<EngineChange> missingFrom(std::span<const EngineChange> Listing,
                                        LogOffset UpTo) const;

  /// Called when another engine has the address. Returns whether the standing
  /// changed.
  bool setLeaving(const UpstreamId &Id, Time Now);

  /// Called when the engine itself announces that it leaves. This incarnation
  /// stays leaving, whatever the registry contains. Returns whether the
  /// standing changed.
  bool noteLeaving(const UpstreamId &Id, Time Now);

  /// Drops expired entries. Returns the engines that are removed.
  std::vector<UpstreamId> expire(Time Now);
  /// Returns when expire() is due next.
  Time nextExpiry() const { return this->NextExpiry; }

  const RegisteredEngine *find(const UpstreamId &Id) const;
  std::span<const RegisteredEngine *const>
  ofService(const ServiceId &Service) const;
  std::size_t size() const { return this->Engines.size(); }

  /// Removals before this offset may have been forgotten.
  LogOffset forgottenTo() const { return this->ForgottenTo; }

  /// Returns a digest of the registrations, independent of renewals. Hosts with
  /// the same registrations have the same digest, regardless of how they treat
  /// missing engines.
  std::uint64_t digest() const { return this->Digest; }

  /// Returns the changes at or after the offset, including recent removals but
  /// not renewals.
  std::vector<EngineChange> changesFrom(LogOffset From) const;

private:
  /// The engine's name, common to all of its incarnations.
  using Name = std::string;
  struct Removal {
    LogOffset Offset = 0;
    Time RemovedAt{};
    std::uint64_t StartedMs = 0; ///< Earlier incarnations are ignored.
  };

  using ByName = std::map<Name, RegisteredEngine, std::less<>>;

  /// Adds the engine to the indexes by service and id and to the digest, or
  /// removes it while it changes. Thousands of engines register at once when
  /// hosts start, so a registration must not visit all others.
  void addToIndex(const RegisteredEngine &Registered);
  void removeFromIndex(const RegisteredEngine &Registered);
  void erase(ByName::const_iterator At);
  void setStanding(RegisteredEngine &Registered, EngineStanding Next, Time Now);
  EngineStanding registeredStanding(const EngineRecord &Record) const;
  std::vector<UpstreamId> removeMissing(Time Now);
  void forgetRemovals(Time Now);
  Removal &noteRemoval(const Name &EngineName, LogOffset Offset, Time Now);
  Applied add(const EngineChange &Change, Time Now);
  Applied change(RegisteredEngine &Registered, const EngineChange &Change,
                 Time Now);
  Applied remove(const EngineChange &Change, bool StoreSuspect, Time Now);

  EngineTimes Times;
  ByName Engines;
  std::map<Name, Removal, std::less<>> Removals;
  /// Incarnations that announced that they leave, and when. Kept beyond their
  /// registration, which may vanish and return while they still serve.
  std::map<UpstreamId, Time> AnnouncedLeaving;
  LogOffset ForgottenTo = 0;
  std::map<ServiceId, std::vector<const RegisteredEngine *>> ByService;
  /// Each choice of an engine looks up all engines of its service.
  std::unordered_map<UpstreamId, const RegisteredEngine *> ById;
  std::uint64_t Digest = 0;
  Time NextExpiry = Never;
  Time NextForgetting = Never; ///< When the next removal is forgotten.
};

} // namespace banyanpick
