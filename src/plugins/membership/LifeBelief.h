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
struct LifeBelief {
  enum class Standing { Alive, Suspect, Dead };

  std::uint64_t Version = 0;
  Standing Stands = Standing::Alive;
  bool Leaving = false;
  bool Ready = false; ///< It has begun to admit requests.

  bool operator==(const LifeBelief &) const = default;
};

/// What both say together.
LifeBelief join(const LifeBelief &First, const LifeBelief &Second);

/// The state shown to others: dead before leaving, leaving before suspect.
MemberState stateOf(const LifeBelief &Belief);

/// What a rumour says.
LifeBelief beliefOf(const MemberUpdate &Rumour);

} // namespace banyanpick
