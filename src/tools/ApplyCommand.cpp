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

/// A file of declarations compared with the catalogue in force.
struct Comparison {
  CatalogueShown InForce;
  CatalogueDiff Diff;
};

OwnerId authorOf(const Options &Opts) {
  const auto Key = splitKey(Opts.Key);
  if (!Key)
    throw Error(ErrorKind::NotAllowed,
                "the key does not have the form OWNER.SECRET",
                "give the owner's key in BANYANPICK_KEY or --key_file");
  return OwnerId(std::string(Key->Name));
}

Comparison compare(OperatorClient &Client, const Options &Opts,
                   std::string_view FileText) {
  const OwnerId Author = authorOf(Opts);
  Comparison Compared;
  Compared.InForce = Client.catalogue();
  const EntryMap Declared = readDeclarations(Opts.Arguments.at(0), FileText,
                                             &Compared.InForce.Entries);
  Compared.Diff =
      difference(Declared, Compared.InForce.Entries, Author, Opts.Prune);
  return Compared;
}

std::string describeUntouched(const CatalogueDiff &Diff, bool Prune) {
  std::string Result;
  for (const EntryKey &Key : Diff.OwnedByOthers)
    Result += "left to its owner: " + text(Key) + "\n";
  if (Prune)
    return Result;
  for (const EntryKey &Key : Diff.Undeclared)
    Result +=
        "in force but not in the file: " + text(Key) + "; --prune removes it\n";
  return Result;
}

std::string describeChanges(const Comparison &Compared) {
  std::string Result;
  for (const Change &Changed : Compared.Diff.Changes)
    Result += describe(Changed, Compared.InForce.Entries);
  return Result;
}

/// Polls the status until all live hosts have reached \p Offset or \p Timeout
/// has passed. Returns the latest check.
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
  for (const std::string &Host : Check.hostsBehind())
    Result.Text += fmt::format("not in force on {}; look at that host's log, "
                               "or stop it\n",
                               Host);
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
      [&](const ChangesAccepted &Verdict) {
        return acceptedOutcome(
            waitUntilInForce(Client, WallClock, Verdict.Offset, Opts.Timeout),
            Set, Verdict.Offset);
      },
      [&](const ChangesRejected &Verdict) {
        return rejectedOutcome(Set, Verdict.Message);
      },
      [&](const VerdictPending &Verdict) {
        return pendingOutcome(Set, Verdict.Message);
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
