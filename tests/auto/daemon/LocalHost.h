/// \file
/// A complete entry host on loopback, for tests and benchmarks.
#pragma once

#include "app/Daemon.h"
#include "app/SettingsFile.h"
#include "auto/daemon/FakePlatform.h"
#include "auto/http/RawPeer.h"
#include "catalogue/CatalogueJson.h"
#include "catalogue/KeyDigest.h"

namespace banyanpick {

inline std::string settingsText(const Address &Platform) {
  const CurveKeyPair Keys = makeCurveKeyPair();
  return fmt::format("[host]\nname = h\nzone = z\ncallers = 127.0.0.1:0\n"
                     "peers = 127.0.0.1:0\n"
                     "[platform]\nlog = {0}\nhost_list = {0}\n"
                     "[peers]\ncurve_public_key = {1}\ncurve_secret_key = {2}\n"
                     "[operators]\nroot_key = secret\n"
                     "[logging]\nlevel = error\n",
                     text(Platform), Keys.PublicKey, Keys.SecretKey);
}

inline Settings settingsFor(const Address &Platform) {
  std::vector<SettingsProblem> Problems;
  auto Result = readDaemonSettings(settingsText(Platform), Problems);
  for (const SettingsProblem &Problem : Problems)
    throw std::runtime_error(Problem.Section + " " + Problem.Key + " " +
                             Problem.Message);
  return std::move(*Result);
}

inline ChangeSet catalogue() {
  const OwnerId Root("root");
  ModelEntry Model;
  Model.Weights = "w";
  ClassEntry Short;
  Short.TargetName = "m";
  Short.MaxPromptTokens = 100'000;
  Short.MaxOutputTokens = 1000;
  Short.FirstTokenBase = seconds(20);
  Short.AnswerBase = seconds(40);
  ClassEntry Desk = Short;
  Desk.Target = TargetKind::Application;
  Desk.TargetName = "desk";
  TeamEntry Team;
  Team.Key = digestOfKey("key", "00000000000000000000000000000001");
  Team.Classes = {ClassId("short"), ClassId("desk")};
  ChangeSet Result;
  Result.Id.Value = "00000000000000000000000000000001";
  Result.Author = Root;
  const auto Declare = [&](EntryKind Kind, const char *Name, EntryBody Body) {
    Change &Entry = Result.Changes.emplace_back();
    Entry.Key = {Kind, Name};
    Entry.Owner = Root;
    Entry.Body = std::move(Body);
  };
  Declare(EntryKind::Model, "m", Model);
  Declare(EntryKind::Class, "short", Short);
  Declare(EntryKind::Class, "desk", Desk);
  Declare(EntryKind::Team, "t", Team);
  return Result;
}

/// Runs one daemon whose catalogue is in force.
class LocalHost {
public:
  LocalHost() : Process(settingsFor(this->Platform.at()), Incarnation(1), 1) {
    const std::string ChangesJson = dumpJson(toJson(catalogue()));
    this->repeatUntil("accepted", [&] {
      return this->post("/v1/operator/changes", "root.secret", ChangesJson);
    });
    this->repeatUntil("whole",
                      [&] { return this->complete(R"("max_tokens":1)"); });
  }

  /// Repeats the request until its answer contains \p Text. Throws after one
  /// minute.
  void repeatUntil(std::string_view Text,
                   const std::function<std::string()> &SendRequest) {
    constexpr int MaxAttempts = 1200;
    std::string Answer;
    for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
      Answer = SendRequest();
      if (Answer.find(Text) != std::string::npos)
        return;
      std::this_thread::sleep_for(milliseconds(50));
    }
    throw std::runtime_error("unexpected answer: " + Answer);
  }

  Address callers() const { return {"127.0.0.1", this->Process.callersPort()}; }
  Address peers() const { return {"127.0.0.1", this->Process.peersPort()}; }

  /// Sends the request and returns the complete answer with its header.
  std::string ask(const std::string &Request) {
    RawPeer Peer(this->callers());
    Peer.send(Request);
    return Peer.readAll();
  }
  std::string post(const std::string &Target, const std::string &Key,
                   const std::string &Body) {
    return this->ask(head("POST", Target, Key) + "Content-Length: " +
                     std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }
  std::string get(const std::string &Target, const std::string &Key = "") {
    return this->ask(head("GET", Target, Key) + "\r\n");
  }
  std::string complete(const std::string &Members) {
    return this->post("/v1/completions", "t.key",
                      R"({"class":"short","prompt":"p",)" + Members + "}");
  }
  bool isHealthy() { return this->get("/health").ends_with("ok\n"); }

  static std::string head(const std::string &Method, const std::string &Target,
                          const std::string &Key) {
    return Method + " " + Target +
           " HTTP/1.1\r\nConnection: close\r\nAuthorization: Bearer " + Key +
           "\r\n";
  }

  FakePlatform Platform;
  Daemon Process;
};

} // namespace banyanpick
