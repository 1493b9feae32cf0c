/// \file
/// The main program of the operators' command line.

#include "base/Error.h"
#include "tools/ApplyCommand.h"
#include "tools/BeastTransport.h"
#include "tools/CommandLine.h"
#include "tools/DeclarationFile.h"
#include "tools/LocalCommands.h"
#include "tools/ViewCommands.h"

#include <fmt/format.h>
#include <sodium.h>

namespace banyanpick::tools {

namespace {

/// Returns a random id, unique without coordination between clients. A change
/// set with the same id is applied only once.
ChangeId newChangeId() {
  return ChangeId(fmt::format("{:08x}{:08x}{:08x}{:08x}", randombytes_random(),
                              randombytes_random(), randombytes_random(),
                              randombytes_random()));
}

Outcome runLocal(const Options &Opts, std::string_view Name) {
  if (Name == "check")
    return check(Opts, readWholeFile(Opts.Arguments.at(0)));
  if (Name == "keys")
    return keys();
  if (Name == "fields")
    return fields();
  const bool NeedsKey = Opts.NewKeyName.empty() && Opts.Key.empty();
  return digest(Opts, NeedsKey ? readWholeFile("-") : Opts.Key);
}

Outcome runRemote(const CommandLine &Parsed) {
  const Options &Opts = Parsed.Opts;
  const std::string_view Name = Parsed.Command->Name;
  BeastTransport Transport(Parsed.CertificatesFile);
  SystemClock WallClock;
  OperatorClient Client(Transport, WallClock, Opts);
  if (Name == "apply")
    return apply(Client, WallClock, Opts, readWholeFile(Opts.Arguments.at(0)),
                 newChangeId());
  if (Name == "diff")
    return diff(Client, Opts, readWholeFile(Opts.Arguments.at(0)));
  if (Name == "show")
    return show(Client);
  if (Name == "history")
    return history(Client, Opts);
  if (Name == "verdict")
    return verdict(Client, Opts);
  if (Name == "status")
    return status(Client, WallClock.now());
  if (Name == "resolve")
    return resolve(Client, Opts);
  return quarantine(Client, Opts);
}

Outcome run(const CommandLine &Parsed) {
  const std::string_view Name = Parsed.Command->Name;
  const bool IsLocal =
      Name == "check" || Name == "digest" || Name == "keys" || Name == "fields";
  return IsLocal ? runLocal(Parsed.Opts, Name) : runRemote(Parsed);
}

ExitCode exitCodeOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::BadInput:
    return ExitCode::BadInput;
  case ErrorKind::NotAllowed:
    return ExitCode::NotAllowed;
  case ErrorKind::Conflict:
    return ExitCode::Rejected;
  case ErrorKind::Unavailable:
    return ExitCode::Unavailable;
  case ErrorKind::Internal:
    break;
  }
  return ExitCode::Internal;
}

ExitCode runAndPrint(int ArgumentCount, char **Arguments) {
  const CommandLine Parsed = parseCommandLine(ArgumentCount, Arguments);
  if (Parsed.Help) {
    fmt::print("{}",
               Parsed.Command ? commandHelp(*Parsed.Command) : overview());
    return ExitCode::Ok;
  }
  const Outcome Result = run(Parsed);
  fmt::print("{}", Parsed.Json ? Result.Json.dump(2) + "\n" : Result.Text);
  return Result.Code;
}

ExitCode guardedMain(int ArgumentCount, char **Arguments) {
  try {
    if (sodium_init() < 0)
      throw Error(ErrorKind::Internal,
                  "libsodium has no source of random numbers",
                  "look at /dev/urandom on this machine");
    return runAndPrint(ArgumentCount, Arguments);
  } catch (const Error &Caught) {
    fmt::print(stderr, "banyanpick: {}\n", Caught.what());
    return exitCodeOf(Caught.kind());
  } catch (const std::exception &Caught) {
    fmt::print(stderr, "banyanpick: internal error: {}; report it\n",
               Caught.what());
    return ExitCode::Internal;
  }
}

} // namespace

} // namespace banyanpick::tools

int main(int ArgumentCount, char **Arguments) {
  return static_cast<int>(
      banyanpick::tools::guardedMain(ArgumentCount, Arguments));
}
