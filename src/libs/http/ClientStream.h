/// \file
/// One HTTP answer that is read while it comes.
#pragma once

#include "base/Time.h"
#include "http/ClientRequest.h"
#include "http/EventParser.h"
#include "kernel/Upstream.h"

#include <array>
#include <optional>

namespace banyanpick {

/// Used on one thread, that of its executor.
class ClientStream {
public:
  ClientStream(const net::any_io_executor &Executor, std::size_t MaxEventBytes)
      : Link(Executor), Events(MaxEventBytes) {}

  /// Connects within \p ConnectTimeout; sends, reads the answer's header and
  /// everything after within \p Timeout from then on.
  Task<std::optional<ClientFailure>> open(Address At, ClientRequest ClientReq,
                                          Duration ConnectTimeout,
                                          Duration Timeout);

  unsigned status() const { return this->Parser.get().result_int(); }

  /// The rest of the answer as a whole, or what came of it before a cut or
  /// \p MaxBytes; the flag tells whether it is whole.
  Task<std::pair<std::string, bool>> readRest(std::size_t MaxBytes);

  enum class ReadState { Open, Ended, Aborted };
  /// Adds the events that came to \p Out. Throws Error(BadInput) when an
  /// event is too long.
  Task<ReadState> readEvents(std::vector<ServerEvent> &Out);

  /// With Cut: how the connection ended.
  ClientFailure failure() const { return this->AbortReason; }

  /// Ends the connection; a running operation fails.
  void cancel();

private:
  static constexpr std::size_t ReadBytes = 4096;

  /// Reads body bytes into Piece; a view of what came.
  Task<std::string_view> readBodyPart();

  beast::tcp_stream Link;
  beast::flat_buffer Buffer;
  http::response_parser<http::buffer_body> Parser;
  EventParser Events;
  std::array<char, ReadBytes> ReadBuffer{};
  ClientFailure AbortReason = ClientFailure::Lost;
  bool WasAborted = false;
  bool Cancelled = false;
};

} // namespace banyanpick
