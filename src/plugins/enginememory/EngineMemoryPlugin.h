/// \file
/// The plug-in that sets memory aside on engines for prompts that one engine
/// can't hold.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"

#include <map>
#include <vector>

namespace banyanpick {

/// All of a request's shares are asked for at once, and all are let go when
/// one is refused, so that two requests never wait for each other. Holds are
/// short and renewed while they are used: when their owner dies, engines free
/// them by themselves, sooner than anybody else could notice.
class EngineMemoryPlugin : public Plugin,
                           public MemoryReserver,
                           public EngineObserver {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override;

  void acquire(const RequestId &Id, std::span<const HelperEngine> Shares,
               Time Now, Actions &Out) override;
  void release(const RequestId &Id, Time Now, Actions &Out) override;

  /// What was set aside there is gone with the engine's earlier life. It is
  /// neither renewed nor let go on the new one.
  void engineRestarted(const UpstreamId &Id, Time Now, Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  enum class Stage { Asked, Waiting, Held, Refused };
  struct Share {
    HelperEngine Where;
    Stage Is = Stage::Asked;
    bool Unanswered = false; ///< An order may be carried out later.
    Time AskAgainAt{};
  };
  struct Reservation {
    std::vector<HelperEngine> All; ///< Those without memory, too.
    std::vector<Share> Shares;
    Time AskedAt{};
    bool Decided = false;
  };
  /// A release repeated, as an order without an answer may be carried out late.
  struct LateRelease {
    HelperEngine Where;
    Time NextAt{};
    Time Until{};
  };

  void ask(Share &Each, Time Now, Actions &Out);
  /// Renews what is held, or asks once more for what is not.
  void askAgain(Share &Each, Time Now, Actions &Out);
  void take(const ReservationAnswered &Is, Time Now, Actions &Out);
  void decide(const RequestId &Id, Reservation &Of, Time Now, Actions &Out);
  void letGo(const Reservation &Of, Time Now, Actions &Out);
  void renew(Time Now, Actions &Out);
  void releaseLate(Time Now, Actions &Out);

  Services *Offered = nullptr;
  const EngineGate *Gate = nullptr;
  Identity Own;
  Duration Hold{};
  Duration RenewInterval{};
  Duration AskInterval{};
  Duration AcquireFor{};
  Duration LateFor{};
  Duration LateInterval{};
  std::uint64_t Names = 0;
  std::map<RequestId, Reservation> Reservations;
  std::vector<LateRelease> Late;
};

} // namespace banyanpick
