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

std::string hostLines(const StatusReport &Of) {
  std::string Result =
      fmt::format("{:<16} {:<10} {:<8} {:<6} {:>9} {:>8}\n", "HOST", "ZONE",
                  "STATE", "READY", "IN FORCE", "HEARD");
  Result += fmt::format(
      "{:<16} {:<10} {:<8} {:<6} {:>9} {:>8}\n", Of.Host.Value, "(asked)",
      Of.Leaving ? "leaving" : "alive", yesNo(Of.Ready), Of.InForce, "-");
  for (const HostStatus &Each : Of.Hosts) {
    if (Each.Host == Of.Host)
      continue;
    Result +=
        fmt::format("{:<16} {:<10} {:<8} {:<6} {:>9} {:>8}\n", Each.Host.Value,
                    Each.Zone.Value, name(Each.State), yesNo(Each.Ready),
                    Each.InForce, secondsText(Each.HeardAgo));
  }
  return Result;
}

std::string upstreamLines(const StatusReport &Of) {
  std::string Result =
      fmt::format("\n{:<16} {:<10} {:<12} {:<8} {:>7} {:>15} {:>13} {:>8}\n",
                  "UPSTREAM", "ZONE", "KIND", "STATE", "RUNNING",
                  "PREFILL TOKENS", "FREE MEMORY", "REPORT");
  for (const UpstreamStatus &Each : Of.Upstreams) {
    const bool Engine = Each.Kind == UpstreamKind::Engine;
    Result += fmt::format(
        "{:<16} {:<10} {:<12} {:<8} {:>7} {:>15} {:>13} {:>8}\n", Each.Id.Value,
        Each.Zone.Value, Engine ? "engine" : "application", Each.State,
        Each.Running, Each.QueuedPrefillTokens, Each.FreeMemoryTokens,
        secondsText(Each.ReportAge));
  }
  return Result;
}

std::string quarantineLines(const StatusReport &Of, Time Now) {
  if (Of.Quarantined.empty())
    return "\nnothing in quarantine\n";
  std::string Result = fmt::format("\n{:<17} {:>7} {:>10}\n", "QUARANTINED",
                                   "CRASHES", "ENDS IN");
  for (const QuarantineStatus &Each : Of.Quarantined)
    Result +=
        fmt::format("{:<17} {:>7} {:>10}\n", fingerprintText(Each.Content),
                    Each.Crashes, secondsText(Each.Until - Now));
  return Result;
}

std::string verdictText(const ChangeVerdict &Of) {
  return match(
      Of, [](const ChangeAccepted &) { return std::string("accepted"); },
      [](const ChangeRefused &Each) { return "rejected: " + Each.Message; });
}

std::string historyLine(const HistoryItem &Of) {
  std::string Result =
      fmt::format("{:>8} {} {} {}\n", Of.Offset, Of.Set.Author.Value,
                  Of.Set.Id.Value, verdictText(Of.Verdict));
  for (const Change &Each : Of.Set.Changes)
    Result += fmt::format("{:>10} {}\n", Each.Body ? "=" : "-", text(Each.Key));
  return Result;
}

} // namespace

Outcome show(OperatorClient &Client) {
  const CatalogueShown Shown = Client.catalogue();
  return {ExitCode::Ok,
          fmt::format("# in force at offset {}\n{}", Shown.AtOffset,
                      writeCatalogueIni(Shown.Entries)),
          toJson(OperatorAnswer(Shown))};
}

Outcome history(OperatorClient &Client, const Options &Opts) {
  const HistoryShown Shown = historyFromJson(Client.get(
      "/v1/operator/history?from=" + std::to_string(Opts.FromOffset)));
  Outcome Result{ExitCode::Ok, "", toJson(OperatorAnswer(Shown))};
  for (const HistoryItem &Each : Shown.Items)
    Result.Text += historyLine(Each);
  if (Shown.Items.empty())
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
  for (const json &Each : Object.list("hosts"))
    Result.Text +=
        (Each.is_string() ? Each.get<std::string>() : Each.dump()) + "\n";
  Result.Text += fmt::format("valid for {}s\n",
                             static_cast<double>(Object.whole("ttl_ms")) / 1e3);
  return Result;
}

Outcome verdict(OperatorClient &Client, const Options &Opts) {
  const ChangeAnswer Answer = Client.verdict(ChangeId(Opts.Arguments.at(0)));
  return match(
      Answer,
      [](const ChangesAccepted &Of) {
        return Outcome{ExitCode::Ok,
                       fmt::format("accepted at offset {}\n", Of.Offset),
                       toJson(OperatorAnswer(Of))};
      },
      [](const ChangesRejected &Of) {
        return Outcome{ExitCode::Rejected, "rejected: " + Of.Message + "\n",
                       toJson(OperatorAnswer(Of))};
      },
      [](const VerdictPending &Of) {
        return Outcome{ExitCode::Unavailable,
                       "not known yet: " + Of.Message + "\n",
                       toJson(OperatorAnswer(Of))};
      });
}

Outcome quarantine(OperatorClient &Client, const Options &Opts) {
  if (Opts.Arguments.at(0) != "release")
    throw Error(ErrorKind::BadInput,
                "'" + Opts.Arguments[0] + "' is no command of quarantine",
                "give: quarantine release FINGERPRINT");
  const std::string Content =
      fingerprintText(parseFingerprint(Opts.Arguments.at(1)));
  Outcome Result;
  Result.Json = Client.remove("/v1/operator/quarantine/" + Content);
  Result.Text = "released " + Content + "\n";
  return Result;
}

} // namespace banyanpick::tools
