// Reads the settings object. The real router (in its configuration file) and the simulator adapter (in its
// first message) are given the same object, with the same names and units.
#ifndef BRASSWOOD_CONFIG_SETTINGS_H_
#define BRASSWOOD_CONFIG_SETTINGS_H_

#include <rapidjson/document.h>

#include <string>
#include <string_view>
#include <vector>

#include "beechledge/balancer.h"

namespace brasswood {

// The names of request classes, tenants, zones and server models. The module refers to each by its index
// here.
struct SettingNames {
  std::vector<std::string> classes, tenants, zones, kinds;
};

// The contents of a settings object.
struct ParsedSettings {
  beechledge::Settings module;
  SettingNames names;
  // Servers close connections that have been idle for this long; 0: not stated.
  beechledge::Duration conn_idle{0};
};

// Never fails: a setting that is missing or of the wrong type keeps its default.
ParsedSettings ReadSettings(const rapidjson::Value& in);
ParsedSettings ReadSettings(std::string_view json);

}  // namespace brasswood

#endif  // BRASSWOOD_CONFIG_SETTINGS_H_
