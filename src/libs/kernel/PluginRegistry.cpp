#include "kernel/PluginRegistry.h"

#include "base/Error.h"

#include <algorithm>
#include <map>
#include <set>

namespace banyanpick {

namespace {

/// Modified during static initialization only.
std::vector<PluginDescription> &registrations() {
  static std::vector<PluginDescription> All;
  return All;
}

/// Sorts plug-ins topologically by their dependencies.
class DependencyOrder {
public:
  explicit DependencyOrder(std::span<const PluginDescription> All) {
    for (const PluginDescription &Description : All)
      this->ByName.emplace(Description.Name, &Description);
  }

  std::vector<PluginDescription> ordered() {
    for (const auto &[Name, Description] : this->ByName)
      this->visit(Name, Name);
    return std::move(this->Result);
  }

private:
  void visit(std::string_view Name, std::string_view WantedBy) {
    if (this->Finished.contains(Name))
      return;
    const auto Found = this->ByName.find(Name);
    if (Found == this->ByName.end())
      throw Error(ErrorKind::Internal,
                  "plug-in " + std::string(WantedBy) + " depends on " +
                      std::string(Name) + ", which is not linked",
                  "link it or remove the dependency");
    if (!this->Open.insert(Name).second)
      throw Error(ErrorKind::Internal,
                  "plug-in " + std::string(Name) + " depends on itself",
                  "remove the cycle of dependencies");
    for (const std::string_view Dependency : Found->second->Dependencies)
      this->visit(Dependency, Name);
    this->Open.erase(Name);
    this->Finished.insert(Name);
    this->Result.push_back(*Found->second);
  }

  std::map<std::string_view, const PluginDescription *> ByName;
  std::set<std::string_view> Open;
  std::set<std::string_view> Finished;
  std::vector<PluginDescription> Result;
};

bool isUsed(const PluginDescription &Description, ServingMode Mode) {
  if (Description.Use == PluginUse::Both)
    return true;
  return (Description.Use == PluginUse::Gateway) ==
         (Mode == ServingMode::Gateway);
}

} // namespace

PluginRegistration::PluginRegistration(PluginDescription Description) {
  registrations().push_back(std::move(Description));
}

std::vector<PluginDescription> registeredPlugins() {
  return DependencyOrder(registrations()).ordered();
}

std::vector<PluginDescription> pluginsFor(ServingMode Mode) {
  std::vector<PluginDescription> Used;
  for (const PluginDescription &Description : registrations())
    if (isUsed(Description, Mode))
      Used.push_back(Description);
  return DependencyOrder(Used).ordered();
}

std::vector<SettingDeclaration> pluginSettings() {
  std::vector<SettingDeclaration> Result;
  for (const PluginDescription &Description : registeredPlugins()) {
    const auto Settings = Description.DeclareSettings();
    Result.insert(Result.end(), Settings.begin(), Settings.end());
  }
  return Result;
}

} // namespace banyanpick
