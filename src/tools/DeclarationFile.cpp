#include "tools/DeclarationFile.h"

#include "base/Error.h"
#include "catalogue/CatalogueIni.h"

#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <iterator>

namespace banyanpick::tools {

namespace {

std::string readStream(std::istream &From) {
  return {std::istreambuf_iterator<char>(From),
          std::istreambuf_iterator<char>()};
}

} // namespace

std::string problemLines(std::string_view FileName,
                         std::span<const SettingsProblem> Problems) {
  std::string Result;
  for (const SettingsProblem &Each : Problems) {
    Result += fmt::format("{}{}:{}:", Result.empty() ? "" : "\n", FileName,
                          Each.Line);
    if (!Each.Section.empty())
      Result += fmt::format(" [{}]", Each.Section);
    if (!Each.Key.empty())
      Result += fmt::format(" {}:", Each.Key);
    Result += " " + Each.Message;
  }
  return Result;
}

EntryMap readDeclarations(std::string_view FileName, std::string_view Text,
                          const EntryMap *InForce) {
  CatalogueFile File = readCatalogueIni(Text, InForce);
  if (!File.Problems.empty())
    throw Error(ErrorKind::BadInput,
                "the file is wrong\n" + problemLines(FileName, File.Problems),
                "mend these lines and try again");
  return std::move(File.Entries);
}

std::string readWholeFile(const std::string &FileName) {
  if (FileName == "-")
    return readStream(std::cin);
  std::ifstream File(FileName);
  if (!File)
    throw Error(ErrorKind::BadInput, "can't read " + FileName,
                "look at its name and permissions");
  return readStream(File);
}

} // namespace banyanpick::tools
