#include "wire/DocumentCompression.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include <algorithm>

namespace banyanpick {

namespace {

namespace zlib = boost::beast::zlib;
using boost::system::error_code;

/// A low compression level, because small hosts compress on their control
/// thread.
constexpr int CompressionLevel = 2;
constexpr int WindowBits = 15;
constexpr int MemoryLevel = 8;

/// Number of bytes by which the output buffer grows during decompression.
constexpr std::size_t OutputStep = 65'536;

zlib::z_params paramsFor(std::string_view Input) {
  zlib::z_params Result{};
  Result.next_in = Input.data();
  Result.avail_in = Input.size();
  return Result;
}

} // namespace

std::string compressDocument(std::string_view Document) {
  zlib::deflate_stream Stream;
  Stream.reset(CompressionLevel, WindowBits, MemoryLevel,
               zlib::Strategy::normal);
  std::string Result(Stream.upper_bound(Document.size()), '\0');
  zlib::z_params Params = paramsFor(Document);
  Params.next_out = Result.data();
  Params.avail_out = Result.size();
  error_code Status;
  Stream.write(Params, zlib::Flush::finish, Status);
  Result.resize(Params.total_out);
  return Result;
}

std::optional<std::string> decompressDocument(std::string_view Compressed,
                                              std::size_t MaxBytes) {
  zlib::inflate_stream Stream;
  Stream.reset(WindowBits);
  std::string Result;
  zlib::z_params Params = paramsFor(Compressed);
  for (error_code Status; Status != zlib::error::end_of_stream;) {
    const std::size_t OldSize = Result.size();
    const std::size_t Available = std::min(OutputStep, MaxBytes - OldSize);
    Result.resize(OldSize + Available);
    Params.next_out = Result.data() + OldSize;
    Params.avail_out = Available;
    Stream.write(Params, zlib::Flush::sync, Status);
    Result.resize(OldSize + Available - Params.avail_out);
    const bool NoProgress = Result.size() == OldSize;
    if (Status != zlib::error::end_of_stream && (Status || NoProgress))
      return std::nullopt;
  }
  return Result;
}

} // namespace banyanpick
