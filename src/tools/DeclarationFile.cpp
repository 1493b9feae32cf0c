#include "tools/DeclarationFile.h"

#include "base/Error.h"
#include "catalogue/CatalogueIni.h"

#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <iterator>

namespace banyanpick::tools {

namespace {

std::string readStream(std::istream &Input) {
  return {std::istreambuf_iterator<char>(Input),
          std::istreambuf_iterator<char>()};
}

} // namespace

std::string problemLines(std::string_view FileName,
                         std::span<const SettingsProblem> Problems) {
  std::string Result;
  for (const SettingsProblem &Problem : Problems) {
    Result += fmt::format("{}{}:{}:", Result.empty() ? "" : "\n", FileName,
                          Problem.Line);
    if (!Problem.Section.empty())
      Result += fmt::format(" [{}]", Problem.Section);
    if (!Problem.Key.empty())
      Result += fmt::format(" {}:", Problem.Key);
    Result += " " + Problem.Message;
  }
  return Result;
}

EntryMap readDeclarations(std::string_view FileName, std::string_view Text,
                          const EntryMap *InForce) {
  CatalogueFile File = readCatalogueIni(Text, InForce);
  if (!File.Problems.empty())
    throw Error(ErrorKind::BadInput,
                "the file has errors\n" + problemLines(FileName, File.Problems),
                "correct these lines and try again");
  return std::move(File.Entries);
}

std::string readWholeFile(const std::string &FileName) {
  if (FileName == "-")
    return readStream(std::cin);
  std::ifstream File(FileName);
  if (!File)
    throw Error(ErrorKind::BadInput, "cannot read " + FileName,
                "look at its name and permissions");
  return readStream(File);
}

} // namespace banyanpick::tools
