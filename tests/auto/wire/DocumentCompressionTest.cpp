/// \file
/// Tests that every compressed document is decompressed to the same bytes.
/// Guards against a codec that rejects a few valid streams: hosts then never
/// get a version of the configuration that only one host has read.
#include "wire/DocumentCompression.h"

#include <array>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

constexpr std::size_t MaxBytes = 4'000'000;

/// Writes random declarations of routes.
class DocumentWriter {
public:
  explicit DocumentWriter(std::uint64_t Seed) : Numbers(Seed) {}

  std::string documentWith(std::size_t Routes) {
    std::string Result = R"({"Routes":[)";
    for (std::size_t Count = 0; Count < Routes; ++Count)
      Result += R"({"Name":"r-)" + this->word(7) + R"(","Host":")" +
                this->word(4 + this->below(4)) +
                R"(.example","PathPrefix":"/)" +
                this->word(4 + this->below(5)) +
                R"(/","Kind":"streaming","TimeoutMs":10000,"Objective":)" +
                std::to_string(this->below(9000)) + R"(,"Service":")" +
                this->word(7) + R"(","Attempts":2,"Public":false},)";
    return Result + "]}";
  }

private:
  std::size_t below(std::size_t End) { return this->Numbers() % End; }
  std::string word(std::size_t Length) {
    constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz0123456789";
    std::string Result;
    while (Result.size() < Length)
      Result += Letters[this->below(Letters.size())];
    return Result;
  }

  std::mt19937_64 Numbers;
};

TEST(DocumentCompression, RestoresEveryConfiguration) {
  constexpr std::size_t Documents = 3000;
  constexpr std::size_t MaxRoutes = 400;
  DocumentWriter Writer(1);
  for (std::size_t Index = 0; Index < Documents; ++Index) {
    const std::string Document = Writer.documentWith(1 + Index % MaxRoutes);
    ASSERT_EQ(decompressDocument(compressDocument(Document), MaxBytes),
              Document)
        << "document " << Index;
  }
}

TEST(DocumentCompression, RestoresDocumentsAroundABufferBoundary) {
  constexpr std::size_t BufferBytes = 65'536;
  for (const std::size_t Size :
       {std::size_t(0), std::size_t(1), BufferBytes - 1, BufferBytes,
        BufferBytes + 1, 2 * BufferBytes}) {
    const std::string Document(Size, 'x');
    EXPECT_EQ(decompressDocument(compressDocument(Document), MaxBytes),
              Document)
        << Size;
  }
}

TEST(DocumentCompression, RejectsTruncatedAndOversizedDocuments) {
  const std::string Document = DocumentWriter(2).documentWith(100);
  const std::string Compressed = compressDocument(Document);
  for (std::size_t Size = 0; Size < Compressed.size(); Size += 97)
    EXPECT_FALSE(decompressDocument(Compressed.substr(0, Size), MaxBytes))
        << Size;
  EXPECT_FALSE(decompressDocument(Compressed, Document.size() - 1));
}

RC_GTEST_PROP(DocumentCompressionProperty, RestoresAnyBytes, ()) {
  const auto Document = *rc::gen::arbitrary<std::string>();
  RC_ASSERT(decompressDocument(compressDocument(Document), MaxBytes) ==
            Document);
}

} // namespace
} // namespace banyanpick
