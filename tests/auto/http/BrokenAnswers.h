/// \file
/// Answers of faulty servers whose bytes end, but are no answer in HTTP.
#pragma once

#include "RawServer.h"

#include <ostream>
#include <vector>

namespace banyanpick {

/// The bytes that a server sends before it closes the connection.
struct BrokenAnswer {
  std::string Name;
  std::string Bytes;

  RawAnswer bytes() const {
    RawAnswer Result;
    Result.First = this->Bytes;
    Result.Closes = true;
    return Result;
  }
};

inline std::ostream &operator<<(std::ostream &Out, const BrokenAnswer &Item) {
  return Out << Item.Name;
}

/// Returns a success with the lines \p Lines in its head.
inline std::string answerWith(const std::string &Lines,
                              const std::string &Body) {
  return "HTTP/1.1 200 OK\r\n" + Lines + "\r\n\r\n" + Body;
}

/// Statuses that no answer has, or none that was asked for.
inline std::vector<BrokenAnswer> brokenStatuses() {
  std::vector<BrokenAnswer> Result;
  for (const std::string Status :
       {"000", "001", "099", "101", "600", "999", "20", "2000", "+20", "2x0"})
    Result.push_back(
        {"Status" + std::to_string(Result.size()),
         "HTTP/1.1 " + Status + " Odd\r\nContent-Length: 2\r\n\r\nok"});
  return Result;
}

/// Bodies in a coding that was not asked for.
inline std::vector<BrokenAnswer> brokenCodings() {
  const std::string Chunks = "2\r\nok\r\n0\r\n\r\n";
  return {{"ChunkedThenOther",
           answerWith("Transfer-Encoding: chunked, gzip", Chunks)},
          {"OtherThenChunked",
           answerWith("Transfer-Encoding: gzip, chunked", Chunks)},
          {"OtherLineBefore",
           answerWith("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
                      Chunks)},
          {"OtherWithLength",
           answerWith("Transfer-Encoding: gzip\r\nContent-Length: 2", "ok")},
          {"Unknown", answerWith("Transfer-Encoding: xchunked", Chunks)},
          {"Identity", answerWith("Transfer-Encoding: identity", "ok")},
          {"Parameter", answerWith("Transfer-Encoding: chunked;a=b", Chunks)},
          {"Empty", answerWith("Transfer-Encoding:", Chunks)}};
}

/// Lines that begin with a blank, so that they continue the line before them
/// (RFC 9112, 5.2).
inline std::vector<BrokenAnswer> foldedLines() {
  const std::string Sound = answerWith("Content-Length: 2", "ok");
  return {
      {"Length", answerWith("X-Mark: s\r\n Content-Length: 1", "ok")},
      {"Tab", answerWith("X-Mark: s\r\n\tContent-Length: 1", "ok")},
      {"Coding", answerWith("X-Mark: s\r\n Transfer-Encoding: chunked",
                            "2\r\nok\r\n0\r\n\r\n")},
      {"OnlyBlanks", answerWith("Content-Length: 2\r\n ", "ok")},
      {"AfterNoValue", answerWith("X-Mark:\r\n s\r\nContent-Length: 2", "ok")},
      {"InAnInterimAnswer",
       "HTTP/1.1 103 Early Hints\r\nLink: a\r\n b\r\n\r\n" + Sound}};
}

/// Lines whose name holds a byte that a name may not hold, or nothing.
inline std::vector<BrokenAnswer> brokenNames() {
  using namespace std::string_literals;
  std::vector<BrokenAnswer> Result;
  for (const std::string &Line :
       {"X Y: z"s, "X\tY: z"s, "X\x01: z"s, "X\0Y: z"s, "X\x7f: z"s,
        "X\x80: z"s, "X(Y): z"s, ": z"s, "X : z"s, "no colon"s,
        " X: first line"s, "Content-Length : 1"s,
        "Transfer-Encoding : chunked"s, "Content Length: 1"s, "X: a\nY: b"s,
        "X: a\rY: b"s, "X: \x01"s}) {
    const std::string Index = std::to_string(Result.size());
    Result.push_back(
        {"First" + Index, answerWith(Line + "\r\nContent-Length: 2", "ok")});
    if (Line.front() != ' ')
      Result.push_back(
          {"Last" + Index, answerWith("Content-Length: 2\r\n" + Line, "ok")});
  }
  return Result;
}

/// A sound answer that ends at every byte of its head.
inline std::vector<BrokenAnswer> cutHeads() {
  const std::string Head = answerWith("X: y\r\nContent-Length: 0", "");
  std::vector<BrokenAnswer> Result;
  for (std::size_t Length = 0; Length < Head.size(); ++Length)
    Result.push_back({"At" + std::to_string(Length), Head.substr(0, Length)});
  return Result;
}

} // namespace banyanpick
