/// \file
/// Sample catalogue entries for tests.
#pragma once

#include "catalogue/Entry.h"
#include "catalogue/KeyDigest.h"

namespace banyanpick {

inline KeyDigest sampleDigest(std::string_view Key) {
  return digestOfKey(Key, "000102030405060708090a0b0c0d0e0f");
}

inline EntryMap sampleEntries() {
  EntryMap Result;
  const OwnerId Ring("ring");
  Result[{EntryKind::Owner, "ring"}] = {OwnerId("root"),
                                        OwnerEntry{sampleDigest("o")}, 1};
  Result[{EntryKind::Team, "house-1"}] = {
      Ring, TeamEntry{sampleDigest("t"), 1.5, 600, 0, 20, {ClassId("short")}},
      7};
  Result[{EntryKind::Class, "short"}] = {
      Ring,
      ClassEntry{TargetKind::Model, "lot.7b", 4000, 200, milliseconds(300),
                 Duration(1500), seconds(2), milliseconds(20), 9, true},
      7};
  Result[{EntryKind::Class, "confirm"}] = {
      Ring,
      ClassEntry{TargetKind::Application, "bids", 1000, 0, seconds(1),
                 Duration(0), seconds(3), Duration(0), 9, false},
      8};
  Result[{EntryKind::Model, "lot.7b"}] = {
      Ring, ModelEntry{"lot-7b-v3", 14'000'000'000, 2, 0}, 7};
  return Result;
}

} // namespace banyanpick
