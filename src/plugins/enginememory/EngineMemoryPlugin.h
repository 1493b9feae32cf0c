/// \file
/// The plug-in that reserves memory on engines for prompts that exceed the
/// memory of one engine.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/enginememory/MemoryUse.h"

#include <map>
#include <vector>

namespace banyanpick {

/// Requests all shares of a request at once, and releases all when one is
/// refused, so that two requests never wait for each other. Reservations are
/// short and renewed while in use. When their owner dies, engines free them on
/// their own, sooner than any other host could notice. Engines are asked
/// whether the request uses its memory, which is released otherwise.
class EngineMemoryPlugin : public Plugin,
                           public MemoryReserver,
                           public EngineObserver,
                           public RelayObserver {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Received, Time Now, Actions &Out) override;
  Time nextWake() const override;

  void acquire(const RequestId &Id, std::span<const HelperEngine> Shares,
               Time Now, Actions &Out) override;
  void release(const RequestId &Id, Time Now, Actions &Out) override;

  /// The reservations ended with the engine's earlier incarnation. They are
  /// neither renewed nor released on the new one.
  void engineRestarted(const UpstreamId &Id, Time Now, Actions &Out) override;

  void attemptBegan(const RelayAttempt &Attempt, Time Now,
                    Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  enum class Stage { Requested, Waiting, Held, Refused };
  struct Share {
    /// Whether an order may take effect after a release.
    bool mayBeReservedLate() const {
      return this->Unanswered || this->AwaitsAnswer;
    }

    HelperEngine Target;
    Stage Status = Stage::Requested;
    bool Unanswered = false;   ///< An unanswered order may take effect later.
    bool AwaitsAnswer = false; ///< To the last order.
    Time NextRequestAt{};
  };
  struct Reservation {
    /// All helpers, including those without a reservation.
    std::vector<HelperEngine> Helpers;
    std::vector<Share> Shares;
    Time RequestedAt{};
    bool Decided = false;
    MemoryUse Use;
    Time NextCheckAt = Never; ///< When an engine is asked about the use.
  };
  /// A repeated release, as an order without an answer may take effect late.
  struct LateRelease {
    HelperEngine Target;
    Time NextAt{};
    Time Until{};
  };

  void request(Share &Part, Time Now, Actions &Out);
  /// Renews a held share, or requests a share again that is not held yet. \p
  /// IsInUse: all shares are held and the prompt was sent.
  void renewOrRetry(Share &Part, bool IsInUse, Time Now, Actions &Out);
  void takeAnswer(const ReservationAnswered &Answer, Time Now, Actions &Out);
  void decide(const RequestId &Id, Reservation &Reserved, Time Now,
              Actions &Out);
  void releaseAll(const Reservation &Reserved, Time Now, Actions &Out);
  void renew(Time Now, Actions &Out);
  void releaseLate(Time Now, Actions &Out);
  void takeReport(const EngineReport &Report, Time Now);
  /// Asks engines whether memory is in use, and reports idle memory to the
  /// observers.
  void checkUse(Time Now, Actions &Out);
  /// Asks the first engine that may be asked, the one that runs the request
  /// before the others.
  void askAboutUse(const Reservation &Reserved, Time Now, Actions &Out) const;
  void notifyIdle(const RequestId &Id, Time Now, Actions &Out);

  Services *Registry = nullptr;
  const EngineDirectory *Directory = nullptr;
  const EngineGate *Gate = nullptr;
  const EngineQuota *Quota = nullptr;
  Identity Self;
  Duration Hold{};
  Duration RenewInterval{};
  Duration AskInterval{};
  Duration AcquireFor{};
  Duration LateFor{};
  Duration LateInterval{};
  Duration CheckInterval{};
  MemoryUseLimits UseLimits;
  std::uint64_t NameCount = 0;
  std::map<RequestId, Reservation> Reservations;
  std::vector<LateRelease> LateReleases;
};

} // namespace banyanpick
