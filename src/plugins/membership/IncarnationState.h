/// \file
/// What is believed of one life of an entry host, and how two beliefs join.
#pragma once

#include "kernel/PeerMessage.h"

namespace banyanpick {

/// A join semilattice, after SWIM (Das, Gupta, Motivala, 2002): the host alone
/// raises Version, to refute; at equal versions the worse standing wins; a life
/// that began to leave never stays again, and one that admitted requests admits
/// them until it leaves. Joins may therefore come in any order and any number
/// of times.
struct IncarnationState {
  enum class Liveness { Alive, Suspect, Dead };

  std::uint64_t Version = 0;
  Liveness Status = Liveness::Alive;
  bool Leaving = false;
  bool Ready = false; ///< It has begun to admit requests.

  bool operator==(const IncarnationState &) const = default;
};

/// What both say together.
IncarnationState join(const IncarnationState &First,
                      const IncarnationState &Second);

/// The state shown to others: dead before leaving, leaving before suspect.
MemberState memberState(const IncarnationState &State);

/// What a rumour says.
IncarnationState incarnationState(const MemberUpdate &Update);

} // namespace banyanpick
