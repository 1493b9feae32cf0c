#include "tools/LocalCommands.h"

#include "base/Error.h"
#include "base/Text.h"
#include "catalogue/CataloguePage.h"
#include "catalogue/EntryValue.h"
#include "catalogue/KeyDigest.h"
#include "tools/DeclarationFile.h"

#include <array>
#include <fmt/format.h>
#include <sodium.h>
#include <zmq.h>

namespace banyanpick::tools {

namespace {

constexpr std::size_t SaltBytes = 16;
constexpr std::size_t SecretBytes = 24;
/// Length of a CURVE key in Z85, with the terminating zero.
constexpr std::size_t CurveKeyCharacters = 41;

std::string randomHex(std::size_t Bytes) {
  std::string Raw(Bytes, '\0');
  randombytes_buf(Raw.data(), Raw.size());
  std::string Digits(Bytes * 2 + 1, '\0');
  sodium_bin2hex(Digits.data(), Digits.size(),
                 reinterpret_cast<const unsigned char *>(Raw.data()),
                 Raw.size());
  Digits.pop_back();
  return Digits;
}

std::string newKey(const std::string &Name) {
  if (!isAllowedName(EntryKind::Team, Name))
    throw Error(ErrorKind::BadInput, "--new " + Name + " is not allowed",
                "give " + allowedNames(EntryKind::Team));
  return Name + "." + randomHex(SecretBytes);
}

} // namespace

Outcome check(const Options &Opts, std::string_view FileText) {
  const std::string &FileName = Opts.Arguments.at(0);
  const EntryMap Entries = readDeclarations(FileName, FileText, nullptr);
  return {ExitCode::Ok,
          fmt::format("{}: {} entries, no problem\n", FileName, Entries.size()),
          {{"file", FileName}, {"entries", Entries.size()}}};
}

Outcome digest(const Options &Opts, std::string_view PresentedKey) {
  const bool IsNew = !Opts.NewKeyName.empty();
  const std::string KeyText =
      IsNew ? newKey(Opts.NewKeyName) : std::string(trimmed(PresentedKey));
  const auto Key = splitKey(KeyText);
  if (!Key)
    throw Error(ErrorKind::BadInput,
                "the key does not have the form NAME.SECRET",
                "give the key on one line, or create one with --new NAME");
  const KeyDigest Digest = digestOfKey(Key->Secret, randomHex(SaltBytes));
  Outcome Result;
  Result.Text = Digest.Text + "\n";
  Result.Json = {{"digest", Digest.Text}};
  if (IsNew) {
    Result.Text =
        fmt::format("key to present: {}\nin the catalogue: key = {}\n", KeyText,
                    Digest.Text);
    Result.Json["key"] = KeyText;
  }
  return Result;
}

Outcome fields() {
  const std::string Page = cataloguePage();
  return {ExitCode::Ok, Page, {{"page", Page}}};
}

Outcome keys() {
  std::array<char, CurveKeyCharacters> Public{};
  std::array<char, CurveKeyCharacters> Secret{};
  if (zmq_curve_keypair(Public.data(), Secret.data()) != 0)
    throw Error(ErrorKind::Internal,
                "this ZeroMQ has no support for CURVE keys",
                "install a libzmq that was built with CURVE");
  return {ExitCode::Ok,
          fmt::format("curve_public_key = {}\ncurve_secret_key = {}\n",
                      Public.data(), Secret.data()),
          {{"curve_public_key", Public.data()},
           {"curve_secret_key", Secret.data()}}};
}

} // namespace banyanpick::tools
