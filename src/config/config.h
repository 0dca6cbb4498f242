// The router's configuration: the PROXY_* environment variables and the configuration file.
#ifndef BRASSWOOD_CONFIG_CONFIG_H_
#define BRASSWOOD_CONFIG_CONFIG_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "config/limits.h"
#include "config/settings.h"
#include "discovery/server_list.h"

namespace brasswood {

// The configuration is unusable. what() is a one-line message for standard error.
class BadConfig : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// All that a router is configured with.
struct Config {
  std::string name;
  std::string listen, discovery;  // addresses, "a.b.c.d:port"
  std::string admin;              // address of the admin interface; empty: there is none
  std::uint64_t seed = 0;         // of the router's random choices
  ParsedSettings settings;
  ServerList known;  // the servers to use until discovery has answered
  Limits limits;
};

// Parses the text of the configuration file. The other arguments are the values of the environment
// variables; each that is not empty overrides the file.
Config ReadConfig(std::string_view json, std::string_view name, std::string_view listen,
                  std::string_view discovery, std::string_view admin = {});

// Reads the file that PROXY_CONFIG names, with the other PROXY_* variables applied.
Config LoadConfig();

// Reads the same file again while the router runs. PROXY_DISCOVERY is ignored, because it describes the
// start only: discovery may have moved since, and only the file can have been updated.
Config ReloadConfig();

}  // namespace brasswood

#endif  // BRASSWOOD_CONFIG_CONFIG_H_
