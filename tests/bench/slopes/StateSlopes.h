/// \file
/// Memory, recovery and log appends, against what there is to keep.
#pragma once

namespace banyanpick {

/// Bytes of the catalogue a team, to 36,000 teams and 36 models.
void measureCatalogueMemory();
/// Time and bytes of a new host's recovery, against records in the log.
void measureRecovery();
/// Appends a second of one host, against non-idempotent calls a second.
void measureAppends();
/// The same of many hosts together, and what their callers wait.
void measureAppendsOfManyHosts();

} // namespace banyanpick
