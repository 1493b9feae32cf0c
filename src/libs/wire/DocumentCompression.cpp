#include "wire/DocumentCompression.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include <algorithm>

namespace banyanpick {

namespace {

namespace zlib = boost::beast::zlib;
using boost::system::error_code;

/// Fast, as small hosts pack on their control thread.
constexpr int Level = 2;
constexpr int WindowBits = 15;
constexpr int MemoryLevel = 8;

/// Room that an unpacked document gets at a time.
constexpr std::size_t Step = 65'536;

zlib::z_params paramsFor(std::string_view From) {
  zlib::z_params Result{};
  Result.next_in = From.data();
  Result.avail_in = From.size();
  return Result;
}

} // namespace

std::string compressDocument(std::string_view Document) {
  zlib::deflate_stream Stream;
  Stream.reset(Level, WindowBits, MemoryLevel, zlib::Strategy::normal);
  std::string Result(Stream.upper_bound(Document.size()), '\0');
  zlib::z_params Params = paramsFor(Document);
  Params.next_out = Result.data();
  Params.avail_out = Result.size();
  error_code Ended;
  Stream.write(Params, zlib::Flush::finish, Ended);
  Result.resize(Params.total_out);
  return Result;
}

std::optional<std::string> decompressDocument(std::string_view Packed,
                                              std::size_t MaxBytes) {
  zlib::inflate_stream Stream;
  Stream.reset(WindowBits);
  std::string Result;
  zlib::z_params Params = paramsFor(Packed);
  for (error_code Ended; Ended != zlib::error::end_of_stream;) {
    const std::size_t Before = Result.size();
    const std::size_t Room = std::min(Step, MaxBytes - Before);
    Result.resize(Before + Room);
    Params.next_out = Result.data() + Before;
    Params.avail_out = Room;
    Stream.write(Params, zlib::Flush::sync, Ended);
    Result.resize(Before + Room - Params.avail_out);
    const bool Stuck = Result.size() == Before;
    if (Ended != zlib::error::end_of_stream && (Ended || Stuck))
      return std::nullopt;
  }
  return Result;
}

} // namespace banyanpick
