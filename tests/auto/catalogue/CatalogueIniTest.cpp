#include "catalogue/CatalogueIni.h"
#include "auto/catalogue/Samples.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

/// Returns the problems of the text, one per line, in the form
/// `LINE [section] key: message`.
std::string problemsIn(std::string_view Text) {
  const EntryMap InForce = sampleEntries();
  const CatalogueFile File = readCatalogueIni(Text, &InForce);
  std::string Result;
  for (const SettingsProblem &Problem : File.Problems)
    Result += std::to_string(Problem.Line) + " [" + Problem.Section + "] " +
              Problem.Key + ": " + Problem.Message + "\n";
  return Result;
}

TEST(CatalogueIni, ReadsWhatItWrites) {
  EntryMap Expected = sampleEntries();
  for (auto &[Key, Value] : Expected)
    Value.Version = 0;
  const CatalogueFile File = readCatalogueIni(writeCatalogueIni(Expected));
  EXPECT_TRUE(File.Problems.empty());
  EXPECT_EQ(File.Entries, Expected);
}

TEST(CatalogueIni, ChecksOwnersOnlyAgainstCatalogueInForce) {
  const std::string Text = "[model m]\nowner = nobody\nweights = w\n";
  EXPECT_TRUE(readCatalogueIni(Text).Problems.empty());
  EXPECT_NE(problemsIn(Text), "");
}

TEST(CatalogueIni, JoinsContinuationLines) {
  const std::string Text =
      "[team a]\nowner = ring\nkey = " + sampleDigest("k").Text +
      "\nclasses = short,\n  confirm\n";
  EXPECT_EQ(problemsIn(Text), "");
  const CatalogueFile File = readCatalogueIni(Text);
  const auto &Team =
      std::get<TeamEntry>(File.Entries.at({EntryKind::Team, "a"}).Body);
  EXPECT_EQ(Team.Classes, (std::vector{ClassId("short"), ClassId("confirm")}));
}

TEST(CatalogueIni, ReportsProblemsWithLineKeyAllowedValuesAndRemedy) {
  const std::string Class = "[class c]\nowner = ring\ntarget = model:lot.7b\n"
                            "max_prompt_tokens = 1\nfirst_token = 1s\n";
  struct Case {
    std::string Text;
    std::string Expected;
  };
  const std::vector<Case> Cases{
      {Class + "answer = soon\n", "6 [class c] answer: 'soon' is not allowed; "
                                  "give a duration such as 20ms"},
      {Class + "answer = 1s\nurgency = 12\n",
       "7 [class c] urgency: '12' is not allowed; give a whole number, 0 to 9"},
      {Class, "1 [class c] answer: is missing; add the line"},
      {Class + "answer = 1s\nanswer = 2s\n", "7 [class c] answer: is given"},
      {Class + "answer = 1s\nanswr = 2s\n",
       "7 [class c] answr: is not a key of this section; give one of owner"},
      {"x = 1\n", "1 [] x: is in no section"},
      {"[tram a]\nx = 1\n", "1 [tram a] : is not a section of a catalogue"},
      {"[team a]\n", "1 [team a] key: is missing"},
      {"[owner a.b]\n", "1 [owner a.b] : has the malformed name"},
      {"[owner a]\nkey = secret\n", "2 [owner a] key: is not a salted hash"},
      {"[model m]\nowner = nobody\nweights = w\n",
       "2 [model m] owner: names owner nobody, which is not declared; add"},
      {"[model m]\nowner = ring\nweights = w\nminimum_engines = 3\n"
       "maximum_engines = 2\n",
       "5 [model m] maximum_engines: is below minimum_engines; raise it"},
      {"nonsense\n[team a\n", "1 [] : is neither [section], comment nor"},
      {"nonsense\n[team a\n", "2 [] : is neither [section], comment nor"},
      {"[owner " + std::string(60, 'n') + "]\n", "1 [] : names a section"},
      {"[class c]\nowner = ring\ntarget = model:other\nmax_prompt_tokens = 1\n"
       "first_token = 1s\nanswer = 1s\n",
       "3 [class c] target: names model other, which is not declared"},
  };
  for (const Case &Sample : Cases)
    EXPECT_NE(problemsIn(Sample.Text).find(Sample.Expected), std::string::npos)
        << "expected: " << Sample.Expected
        << "\nactual: " << problemsIn(Sample.Text);
}

RC_GTEST_PROP(CatalogueIni, ArbitraryBytesDontCrash,
              (const std::string &Bytes)) {
  readCatalogueIni(Bytes);
  readCatalogueIni("[team a]\nclasses = " + Bytes);
}

} // namespace
} // namespace banyanpick
