#include "tools/ApplyCommand.h"

#include "base/Error.h"
#include "base/Visitor.h"
#include "catalogue/CatalogueDiff.h"
#include "catalogue/CatalogueJson.h"
#include "catalogue/KeyDigest.h"
#include "tools/DeclarationFile.h"
#include "tools/InForceCheck.h"

#include <fmt/format.h>

namespace banyanpick::tools {

namespace {

using nlohmann::json;

constexpr Duration PollInterval = milliseconds(250);

/// The file against what is in force.
struct Comparison {
  CatalogueShown InForce;
  CatalogueDiff Diff;
};

OwnerId authorOf(const Options &Opts) {
  const auto Key = splitKey(Opts.Key);
  if (!Key)
    throw Error(ErrorKind::NotAllowed, "the key is not OWNER.SECRET",
                "give the owner's key in BANYANPICK_KEY or --key_file");
  return OwnerId(std::string(Key->Name));
}

Comparison compare(OperatorClient &Client, const Options &Opts,
                   std::string_view FileText) {
  const OwnerId Author = authorOf(Opts);
  Comparison Result;
  Result.InForce = Client.catalogue();
  const EntryMap Declared =
      readDeclarations(Opts.Arguments.at(0), FileText, &Result.InForce.Entries);
  Result.Diff =
      difference(Declared, Result.InForce.Entries, Author, Opts.Prune);
  return Result;
}

std::string describeUntouched(const CatalogueDiff &Of, bool Prune) {
  std::string Result;
  for (const EntryKey &Each : Of.OwnedByOthers)
    Result += "left to its owner: " + text(Each) + "\n";
  if (Prune)
    return Result;
  for (const EntryKey &Each : Of.Undeclared)
    Result += "in force but not in the file: " + text(Each) +
              "; --prune removes it\n";
  return Result;
}

std::string describeChanges(const Comparison &Of) {
  std::string Result;
  for (const Change &Each : Of.Diff.Changes)
    Result += describe(Each, Of.InForce.Entries);
  return Result;
}

/// Asks for the status until all live hosts are at the offset.
InForceCheck waitUntilInForce(OperatorClient &Client, Clock &WallClock,
                              LogOffset Offset, Duration Timeout) {
  const Time Deadline = WallClock.now() + Timeout;
  InForceCheck Latest(Client.status(), Offset);
  while (!Latest.isInForceEverywhere() && WallClock.now() < Deadline) {
    WallClock.sleep(PollInterval);
    Latest = InForceCheck(Client.status(), Offset);
  }
  return Latest;
}

Outcome acceptedOutcome(const InForceCheck &Check, const ChangeSet &Set,
                        LogOffset Offset) {
  Outcome Result;
  Result.Code = Check.isInForceEverywhere() ? ExitCode::Ok
                                            : ExitCode::NotInForceEverywhere;
  Result.Text = fmt::format("accepted at offset {}; in force on {} of {} "
                            "hosts\n",
                            Offset, Check.hostsInForce(), Check.liveHosts());
  for (const std::string &Each : Check.hostsBehind())
    Result.Text += fmt::format("not in force on {}; look at that host's log, "
                               "or stop it\n",
                               Each);
  Result.Json = {{"verdict", "accepted"},
                 {"change", Set.Id.Value},
                 {"offset", Offset},
                 {"hosts_in_force", Check.hostsInForce()},
                 {"hosts_live", Check.liveHosts()},
                 {"behind", Check.hostsBehind()}};
  return Result;
}

Outcome rejectedOutcome(const ChangeSet &Set, const std::string &Message) {
  return {ExitCode::Rejected,
          "rejected: " + Message + "\n",
          {{"verdict", "rejected"},
           {"change", Set.Id.Value},
           {"message", Message}}};
}

Outcome pendingOutcome(const ChangeSet &Set, const std::string &Message) {
  return {
      ExitCode::Unavailable,
      fmt::format("not known yet: {}; ask with 'banyanpick verdict {}'\n",
                  Message, Set.Id.Value),
      {{"verdict", "pending"}, {"change", Set.Id.Value}, {"message", Message}}};
}

} // namespace

Outcome apply(OperatorClient &Client, Clock &WallClock, const Options &Opts,
              std::string_view FileText, const ChangeId &NewId) {
  const Comparison Compared = compare(Client, Opts, FileText);
  const std::string Notes = describeUntouched(Compared.Diff, Opts.Prune);
  if (Compared.Diff.Changes.empty())
    return {ExitCode::Ok,
            Notes + fmt::format("nothing to change; in force at offset {}\n",
                                Compared.InForce.AtOffset),
            {{"verdict", "unchanged"}, {"offset", Compared.InForce.AtOffset}}};
  ChangeSet Set;
  Set.Id = Opts.ChangeId.empty() ? NewId : ChangeId(Opts.ChangeId);
  Set.Changes = Compared.Diff.Changes;
  const ChangeAnswer Answer = Client.submit(Set, Opts.Timeout);
  Outcome Result = match(
      Answer,
      [&](const ChangesAccepted &Of) {
        return acceptedOutcome(
            waitUntilInForce(Client, WallClock, Of.Offset, Opts.Timeout), Set,
            Of.Offset);
      },
      [&](const ChangesRejected &Of) {
        return rejectedOutcome(Set, Of.Message);
      },
      [&](const VerdictPending &Of) {
        return pendingOutcome(Set, Of.Message);
      });
  Result.Text = describeChanges(Compared) + Notes + Result.Text;
  return Result;
}

Outcome diff(OperatorClient &Client, const Options &Opts,
             std::string_view FileText) {
  const Comparison Compared = compare(Client, Opts, FileText);
  Outcome Result;
  Result.Text =
      describeChanges(Compared) + describeUntouched(Compared.Diff, Opts.Prune);
  if (Result.Text.empty())
    Result.Text = "no difference\n";
  Result.Json = {
      {"offset", Compared.InForce.AtOffset},
      {"changes",
       toJson(ChangeSet{{}, {}, Compared.Diff.Changes}).at("changes")}};
  return Result;
}

} // namespace banyanpick::tools
