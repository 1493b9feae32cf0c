#include "catalogue/KeyDigest.h"

#include "base/Error.h"

#include <array>
#include <sodium.h>
#include <span>

namespace banyanpick {

namespace {

constexpr std::size_t SaltBytes = 16;
constexpr std::size_t HashBytes = 32;
constexpr std::size_t SaltDigits = SaltBytes * 2;
constexpr std::size_t HashDigits = HashBytes * 2;

using Salt = std::array<unsigned char, SaltBytes>;
using Hash = std::array<unsigned char, HashBytes>;

bool decodeHex(std::string_view Digits, std::span<unsigned char> Into) {
  std::size_t Length = 0;
  const char *End = nullptr;
  const int Result = sodium_hex2bin(Into.data(), Into.size(), Digits.data(),
                                    Digits.size(), nullptr, &Length, &End);
  return Result == 0 && Length == Into.size() &&
         End == Digits.data() + Digits.size();
}

Hash hashKey(std::string_view Key, const Salt &SaltOfKey) {
  Hash Result{};
  crypto_generichash(Result.data(), Result.size(),
                     reinterpret_cast<const unsigned char *>(Key.data()),
                     Key.size(), SaltOfKey.data(), SaltOfKey.size());
  return Result;
}

} // namespace

std::optional<PresentedKey> splitKey(std::string_view Presented) {
  const std::size_t Dot = Presented.find('.');
  if (Dot == std::string_view::npos || Dot == 0 || Dot + 1 == Presented.size())
    return std::nullopt;
  return PresentedKey{Presented.substr(0, Dot), Presented.substr(Dot + 1)};
}

KeyDigest digestOfKey(std::string_view Key, std::string_view SaltHex) {
  Salt SaltOfKey{};
  if (!decodeHex(SaltHex, SaltOfKey))
    throw Error(ErrorKind::BadInput, "the salt is malformed",
                "give 32 hexadecimal digits");
  const Hash HashOfKey = hashKey(Key, SaltOfKey);
  std::string Digits(HashDigits + 1, '\0');
  sodium_bin2hex(Digits.data(), Digits.size(), HashOfKey.data(),
                 HashOfKey.size());
  Digits.pop_back();
  return KeyDigest{std::string(SaltHex) + ":" + Digits};
}

bool matchesDigest(std::string_view Key, const KeyDigest &Digest) {
  if (!isWellFormed(Digest))
    return false;
  Salt SaltOfKey{};
  Hash Expected{};
  const std::string_view Text = Digest.Text;
  decodeHex(Text.substr(0, SaltDigits), SaltOfKey);
  decodeHex(Text.substr(SaltDigits + 1), Expected);
  const Hash Actual = hashKey(Key, SaltOfKey);
  return sodium_memcmp(Actual.data(), Expected.data(), HashBytes) == 0;
}

bool isWellFormed(const KeyDigest &Digest) {
  const std::string_view Text = Digest.Text;
  if (Text.size() != SaltDigits + 1 + HashDigits || Text[SaltDigits] != ':')
    return false;
  Salt SaltOfKey{};
  Hash HashOfKey{};
  return decodeHex(Text.substr(0, SaltDigits), SaltOfKey) &&
         decodeHex(Text.substr(SaltDigits + 1), HashOfKey);
}

} // namespace banyanpick
