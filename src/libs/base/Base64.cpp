#include "base/Base64.h"

#include "base/Error.h"

#include <sodium.h>

namespace banyanpick {

std::string fromBase64(std::string_view Text) {
  std::string Bytes(Text.size(), '\0');
  std::size_t Size = 0;
  const int Failure =
      sodium_base642bin(reinterpret_cast<unsigned char *>(Bytes.data()),
                        Bytes.size(), Text.data(), Text.size(), nullptr, &Size,
                        nullptr, sodium_base64_VARIANT_ORIGINAL);
  if (Failure != 0)
    throw Error(ErrorKind::BadInput, "a record is not in base64",
                "see docs/PROTOCOLS.md");
  Bytes.resize(Size);
  return Bytes;
}

std::string toBase64(std::string_view Bytes) {
  std::string Text(
      sodium_base64_encoded_len(Bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(Text.data(), Text.size(),
                    reinterpret_cast<const unsigned char *>(Bytes.data()),
                    Bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  Text.pop_back(); // The terminating null character.
  return Text;
}

} // namespace banyanpick
