// The one reader of the settings object, which both the real router (config.json) and the simulator adapter
// (its first message) are given, with the same names and units.
#ifndef BRASSWOOD_CONFIG_SETTINGS_H_
#define BRASSWOOD_CONFIG_SETTINGS_H_

#include <rapidjson/document.h>

#include <string>
#include <string_view>
#include <vector>

#include "beechledge/balancer.h"

namespace brasswood {

// The names that stand for the module's indexes.
struct Names {
  std::vector<std::string> classes, tenants, zones, kinds;
};

struct SettingsRead {
  beechledge::Settings module;
  Names names;
  beechledge::Duration conn_idle{0};
};

// Lenient: what is missing or of the wrong type takes its default.
SettingsRead ReadSettings(const rapidjson::Value& in);
SettingsRead ReadSettings(std::string_view json);

}  // namespace brasswood

#endif  // BRASSWOOD_CONFIG_SETTINGS_H_
