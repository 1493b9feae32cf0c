#include "tools/ViewCommands.h"

#include "base/Error.h"
#include "base/Visitor.h"
#include "catalogue/CatalogueDiff.h"
#include "catalogue/CatalogueIni.h"
#include "json/ObjectReader.h"

#include <fmt/format.h>

namespace banyanpick::tools {

namespace {

using nlohmann::json;

std::string yesNo(bool Value) { return Value ? "yes" : "no"; }

std::string secondsText(Duration Value) {
  return fmt::format("{:.1f}s", inSeconds(Value));
}

std::string hostLines(const StatusReport &Report) {
  std::string Result =
      fmt::format("{:<16} {:<10} {:<8} {:<6} {:>9} {:>8}\n", "HOST", "ZONE",
                  "STATE", "READY", "IN FORCE", "HEARD");
  Result +=
      fmt::format("{:<16} {:<10} {:<8} {:<6} {:>9} {:>8}\n", Report.Host.Value,
                  "(asked)", Report.Leaving ? "leaving" : "alive",
                  yesNo(Report.Ready), Report.InForce, "-");
  for (const HostStatus &Member : Report.Hosts) {
    if (Member.Host == Report.Host)
      continue;
    Result += fmt::format("{:<16} {:<10} {:<8} {:<6} {:>9} {:>8}\n",
                          Member.Host.Value, Member.Zone.Value,
                          name(Member.State), yesNo(Member.Ready),
                          Member.InForce, secondsText(Member.HeardAgo));
  }
  return Result;
}

std::string upstreamLines(const StatusReport &Report) {
  std::string Result =
      fmt::format("\n{:<16} {:<10} {:<12} {:<8} {:>7} {:>15} {:>13} {:>8}\n",
                  "UPSTREAM", "ZONE", "KIND", "STATE", "RUNNING",
                  "PREFILL TOKENS", "FREE MEMORY", "REPORT");
  for (const UpstreamStatus &Reported : Report.Upstreams) {
    const bool IsEngine = Reported.Kind == UpstreamKind::Engine;
    Result +=
        fmt::format("{:<16} {:<10} {:<12} {:<8} {:>7} {:>15} {:>13} {:>8}\n",
                    Reported.Id.Value, Reported.Zone.Value,
                    IsEngine ? "engine" : "application", Reported.State,
                    Reported.Running, Reported.QueuedPrefillTokens,
                    Reported.FreeMemoryTokens, secondsText(Reported.ReportAge));
  }
  return Result;
}

std::string quarantineLines(const StatusReport &Report, Time Now) {
  if (Report.Quarantined.empty())
    return "\nnothing in quarantine\n";
  std::string Result = fmt::format("\n{:<17} {:>7} {:>10}\n", "QUARANTINED",
                                   "CRASHES", "ENDS IN");
  for (const QuarantineStatus &Entry : Report.Quarantined)
    Result +=
        fmt::format("{:<17} {:>7} {:>10}\n", fingerprintText(Entry.Content),
                    Entry.Crashes, secondsText(Entry.Until - Now));
  return Result;
}

std::string verdictText(const ChangeVerdict &Verdict) {
  return match(
      Verdict, [](const ChangeAccepted &) { return std::string("accepted"); },
      [](const ChangeRefused &Refusal) {
        return "rejected: " + Refusal.Message;
      });
}

std::string historyLine(const HistoryItem &Item) {
  std::string Result =
      fmt::format("{:>8} {} {} {}\n", Item.Offset, Item.Set.Author.Value,
                  Item.Set.Id.Value, verdictText(Item.Verdict));
  for (const Change &Changed : Item.Set.Changes)
    Result +=
        fmt::format("{:>10} {}\n", Changed.Body ? "=" : "-", text(Changed.Key));
  return Result;
}

} // namespace

Outcome show(OperatorClient &Client) {
  const CatalogueShown Catalogue = Client.catalogue();
  return {ExitCode::Ok,
          fmt::format("# in force at offset {}\n{}", Catalogue.AtOffset,
                      writeCatalogueIni(Catalogue.Entries)),
          toJson(OperatorAnswer(Catalogue))};
}

Outcome history(OperatorClient &Client, const Options &Opts) {
  const HistoryShown History = historyFromJson(Client.get(
      "/v1/operator/history?from=" + std::to_string(Opts.FromOffset)));
  Outcome Result{ExitCode::Ok, "", toJson(OperatorAnswer(History))};
  for (const HistoryItem &Item : History.Items)
    Result.Text += historyLine(Item);
  if (History.Items.empty())
    Result.Text = "no change sets\n";
  return Result;
}

Outcome status(OperatorClient &Client, Time Now) {
  const StatusReport Report = Client.status();
  Outcome Result;
  Result.Text =
      hostLines(Report) + upstreamLines(Report) + quarantineLines(Report, Now);
  if (!Report.Current)
    Result.Text += "this host can't know the catalogue in force: neither the "
                   "log nor a peer answers it; look at its network\n";
  if (Report.InvariantsBroken > 0)
    Result.Text += fmt::format("{} invariants broken; report it with the log "
                               "lines numbered 103\n",
                               Report.InvariantsBroken);
  Result.Json = toJson(OperatorAnswer(Report));
  return Result;
}

Outcome resolve(OperatorClient &Client, const Options &Opts) {
  std::string Target = "/v1/resolve";
  if (!Opts.Team.empty())
    Target += "?team=" + Opts.Team;
  if (!Opts.Zone.empty())
    Target += (Opts.Team.empty() ? "?zone=" : "&zone=") + Opts.Zone;
  Outcome Result;
  Result.Json = Client.get(Target);
  ObjectReader Object(Result.Json, "");
  for (const json &Host : Object.list("hosts"))
    Result.Text +=
        (Host.is_string() ? Host.get<std::string>() : Host.dump()) + "\n";
  Result.Text += fmt::format("valid for {}s\n",
                             static_cast<double>(Object.whole("ttl_ms")) / 1e3);
  return Result;
}

Outcome verdict(OperatorClient &Client, const Options &Opts) {
  const ChangeAnswer Answer = Client.verdict(ChangeId(Opts.Arguments.at(0)));
  return match(
      Answer,
      [](const ChangesAccepted &Verdict) {
        return Outcome{ExitCode::Ok,
                       fmt::format("accepted at offset {}\n", Verdict.Offset),
                       toJson(OperatorAnswer(Verdict))};
      },
      [](const ChangesRejected &Verdict) {
        return Outcome{ExitCode::Rejected,
                       "rejected: " + Verdict.Message + "\n",
                       toJson(OperatorAnswer(Verdict))};
      },
      [](const VerdictPending &Verdict) {
        return Outcome{ExitCode::Unavailable,
                       "not known yet: " + Verdict.Message + "\n",
                       toJson(OperatorAnswer(Verdict))};
      });
}

Outcome quarantine(OperatorClient &Client, const Options &Opts) {
  if (Opts.Arguments.at(0) != "release")
    throw Error(ErrorKind::BadInput,
                "'" + Opts.Arguments[0] + "': no such subcommand of quarantine",
                "give: quarantine release FINGERPRINT");
  const std::string Content =
      fingerprintText(parseFingerprint(Opts.Arguments.at(1)));
  Outcome Result;
  Result.Json = Client.remove("/v1/operator/quarantine/" + Content);
  Result.Text = "released " + Content + "\n";
  return Result;
}

} // namespace banyanpick::tools
