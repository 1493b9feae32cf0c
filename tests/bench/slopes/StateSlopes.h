/// \file
/// Memory, recovery and log appends, by the amount of stored state.
#pragma once

namespace banyanpick {

/// Bytes of the catalogue per team, with up to 36,000 teams and 36 models.
void measureCatalogueMemory();
/// Time and bytes of the recovery of a new host, by number of records in the
/// log.
void measureRecovery();
/// Appends per second of one host, by non-idempotent calls per second.
void measureAppends();
/// Appends per second of many hosts together, with the waiting time of their
/// callers.
void measureAppendsOfManyHosts();

} // namespace banyanpick
