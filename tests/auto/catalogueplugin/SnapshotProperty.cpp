/// \file
/// Guards against hosts with different catalogues at the same offset, and
/// against an offset in force that decreases. Hosts go through random change
/// sets, copies of them, snapshots, retention and restarts.
#include "auto/catalogueplugin/CatalogueBench.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {

namespace {

class RandomRun {
public:
  RandomRun() {
    for (unsigned Host = 0; Host < 3; ++Host)
      this->Hosts.push_back(this->makeHost(Host));
  }

  void step(unsigned Draw) {
    const unsigned Kind = Draw % 8;
    const unsigned Host = Draw / 8 % 3;
    const unsigned Pick = Draw / 32;
    BenchHost &Target = *this->Hosts[Host];
    Target.advance(milliseconds(300));
    if (Kind < 2)
      appendChangeSet(this->Log, this->makeChangeSet(Pick));
    else if (Kind < 5)
      Target.catchUp();
    else if (Kind < 7)
      Target.settle();
    else if (Pick % 4 == 0)
      this->Hosts[Host] = this->makeHost(Host);
    else if (this->isAnyHostUpToDate())
      this->Log.dropBefore(this->Log.end() > 40 ? this->Log.end() - 40 : 1);
    this->check();
  }

private:
  std::unique_ptr<BenchHost> makeHost(unsigned Host) {
    return std::make_unique<BenchHost>(
        this->Log, "h" + std::to_string(Host), ++this->Incarnations,
        std::map<std::string, std::string>{
            {"log.retention", "20s"}, {"catalogue.snapshot_chunk", "256"}});
  }

  /// Returns a change set for one of four owners, whose base version may be
  /// right, or sometimes a second copy of an earlier set.
  ChangeSet makeChangeSet(unsigned Pick) {
    if (Pick % 5 == 0 && !this->ChangeSets.empty())
      return this->ChangeSets[Pick / 5 % this->ChangeSets.size()];
    const std::string Name = "o" + std::to_string(Pick % 4);
    const EntryMap &Entries = viewOf(*this->Hosts[0]).catalogue().entries();
    const auto Found = Entries.find({EntryKind::Owner, Name});
    ChangeSet Result =
        declareOwner("c" + std::to_string(this->ChangeSets.size()), Name,
                     Found == Entries.end() ? 0 : Found->second.Version);
    if (Pick % 3 == 0)
      Result.Changes[0].Body.reset();
    this->ChangeSets.push_back(Result);
    return Result;
  }

  bool isAnyHostUpToDate() {
    return std::any_of(this->Hosts.begin(), this->Hosts.end(), [&](auto &Host) {
      return viewOf(*Host).isReady() &&
             viewOf(*Host).catalogue().offset() + 1 == this->Log.end();
    });
  }

  void check() {
    std::map<LogOffset, std::string> ByOffset;
    for (auto &Host : this->Hosts) {
      RC_ASSERT(Host->kernel().invariantsBroken() == 0u);
      if (!viewOf(*Host).isReady())
        continue;
      const LogOffset At = viewOf(*Host).catalogue().offset();
      const auto [Earlier, IsFirst] = ByOffset.emplace(At, textOf(*Host));
      RC_ASSERT(IsFirst || Earlier->second == textOf(*Host));
    }
  }

  LogServiceModel Log;
  std::vector<std::unique_ptr<BenchHost>> Hosts;
  std::vector<ChangeSet> ChangeSets;
  std::uint64_t Incarnations = 0;
};

} // namespace

RC_GTEST_PROP(SnapshotProperty, HostsAtTheSameOffsetHaveTheSameCatalogue, ()) {
  RandomRun Run;
  const auto Draws = *rc::gen::container<std::vector<unsigned>>(
      150, rc::gen::inRange<unsigned>(0, 1u << 20));
  for (const unsigned Draw : Draws)
    Run.step(Draw);
}

} // namespace banyanpick
