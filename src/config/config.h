// What a router is told at its start: the PROXY_* variables and the configuration file.
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

// what() is the one plain line for standard error.
class BadConfig : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name, listen, discovery;  // addresses are "a.b.c.d:port"
  std::string admin;                    // the operators' door; empty: there is none
  std::uint64_t seed = 0;
  SettingsRead settings;
  ServerList known;
  Limits limits;
};

// From the text of the file; the variables, where not empty, go before what the file says.
Config ReadConfig(std::string_view json, std::string_view name, std::string_view listen,
                  std::string_view discovery, std::string_view admin = {});

// From the environment: PROXY_CONFIG names the file.
Config LoadConfig();

// The same file read again while the router runs. PROXY_DISCOVERY speaks of the start only: the file alone
// says where discovery is by now.
Config ReloadConfig();

}  // namespace brasswood

#endif  // BRASSWOOD_CONFIG_CONFIG_H_
