/// \file
/// Tests that a request is matched to the route with the longest prefix of its
/// path.
#include "gateway/RouteTable.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

RouteEntry route(std::string Name, std::string Host, std::string Prefix) {
  RouteEntry Result;
  Result.Name = std::move(Name);
  Result.Host = std::move(Host);
  Result.PathPrefix = std::move(Prefix);
  return Result;
}

RouteTable table() {
  auto Declared = std::make_shared<GatewayConfiguration>();
  Declared->Version = 3;
  Declared->Routes = {route("root", "a.example", "/"),
                      route("notes", "a.example", "/notes/"),
                      route("urgent", "a.example", "/notes/urgent/"),
                      route("other", "b.example", "/notes/")};
  Declared->Keys["k"] = {TeamId("house"), 1};
  return RouteTable(Declared);
}

std::string found(const RouteTable &Table, std::string_view Host,
                  std::string_view Path) {
  const RouteEntry *Route = Table.find(Host, Path);
  return Route ? Route->Name : "";
}

TEST(RouteTable, SelectsTheLongestPrefix) {
  const RouteTable Table = table();
  EXPECT_EQ(found(Table, "a.example", "/notes/urgent/7"), "urgent");
  EXPECT_EQ(found(Table, "a.example", "/notes/urgent/"), "urgent");
  EXPECT_EQ(found(Table, "a.example", "/notes/7"), "notes");
  EXPECT_EQ(found(Table, "a.example", "/notes"), "root");
  EXPECT_EQ(found(Table, "a.example", "/notesurgent/7"), "root");
  EXPECT_EQ(found(Table, "a.example", "/"), "root");
}

TEST(RouteTable, SeparatesRoutesByHost) {
  const RouteTable Table = table();
  EXPECT_EQ(found(Table, "b.example", "/notes/urgent/7"), "other");
  EXPECT_EQ(found(Table, "b.example", "/else/"), "");
  EXPECT_EQ(found(Table, "c.example", "/notes/"), "");
}

TEST(RouteTable, IgnoresPortAndCaseOfTheHost) {
  EXPECT_EQ(found(table(), "A.Example:8080", "/notes/7"), "notes");
}

TEST(RouteTable, HandlesUnusualPaths) {
  const RouteTable Table = table();
  EXPECT_EQ(found(Table, "a.example", ""), "");
  EXPECT_EQ(found(Table, "a.example", "no-slash"), "");
  EXPECT_EQ(found(Table, "a.example", "//notes//"), "root");
}

TEST(RouteTable, FindsTheOwnerOfAKey) {
  const RouteTable Table = table();
  ASSERT_NE(Table.ownerOf("k"), nullptr);
  EXPECT_EQ(Table.ownerOf("k")->Team, TeamId("house"));
  EXPECT_EQ(Table.ownerOf(""), nullptr);
}

} // namespace
} // namespace banyanpick
