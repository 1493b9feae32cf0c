/// \file
/// Defines the known state of one incarnation of an entry host and its merge.
#pragma once

#include "kernel/PeerMessage.h"

namespace banyanpick {

/// The state of one incarnation, a join semilattice after SWIM (Das, Gupta,
/// Motivala, 2002). Only the host itself raises Version, to refute a suspicion.
/// At equal versions the worse status wins. An incarnation that began to leave
/// never returns, and one that admitted requests admits them until it leaves.
/// Whether it is cut off changes only with its version.
/// States may therefore be joined in any order and any number of times.
struct IncarnationState {
  enum class Liveness { Alive, Suspect, Dead };

  std::uint64_t Version = 0;
  Liveness Status = Liveness::Alive;
  bool Leaving = false;
  bool Ready = false;  ///< The host has begun to admit requests.
  bool CutOff = false; ///< As the host said with the highest version.

  bool operator==(const IncarnationState &) const = default;
};

/// Returns the least upper bound of both states.
IncarnationState join(const IncarnationState &First,
                      const IncarnationState &Second);

/// Returns the member state to publish. Dead takes precedence over leaving, and
/// leaving over suspect.
MemberState memberState(const IncarnationState &State);

/// Returns the incarnation state that a gossip update carries.
IncarnationState incarnationState(const MemberUpdate &Update);

} // namespace banyanpick
