#include "config/config.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "config/json.h"
#include "protocol/address.h"
#include "protocol/discovery.h"

namespace brasswood {
namespace {

using rapidjson::Value;

// The value of the environment variable if it is set, else the file's string field; empty if neither is.
std::string StringField(const Value& in, const char* name, std::string_view variable) {
  if (!variable.empty()) return std::string(variable);
  const Value* v = FindField(in, name);
  if (v == nullptr) return {};
  if (!v->IsString()) throw BadConfig(std::string("configuration: \"") + name + "\" is not a string");
  return {v->GetString(), v->GetStringLength()};
}

// The same, where a valid address must be given.
std::string AddressField(const Value& in, const char* name, std::string_view variable) {
  std::string text = StringField(in, name, variable);
  if (text.empty()) throw BadConfig(std::string("configuration: \"") + name + "\" is missing");
  if (!ParseAddress(text)) {
    throw BadConfig(std::string("configuration: \"") + name + "\" is not an address and port: " + text);
  }
  return text;
}

// A field of the optional object "limits".
double LimitField(const Value* in, const char* name, double fallback) {
  const Value* v = in != nullptr && in->IsObject() ? FindField(*in, name) : nullptr;
  if (v == nullptr) return fallback;
  if (!v->IsNumber() || !(v->GetDouble() > 0)) {
    throw BadConfig(std::string("configuration: limit \"") + name + "\" is not a number above 0");
  }
  return v->GetDouble();
}

// The seed as a hexadecimal number. Any other text is hashed (FNV-1a): seeds only have to differ between
// routers.
std::uint64_t ParseSeed(const std::string& text) {
  char* end = nullptr;
  const std::uint64_t seed = std::strtoull(text.c_str(), &end, 16);
  if (!text.empty() && *end == '\0') return seed;
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return hash;
}

// Deadlines count as at most this long when the time for a shutdown is computed.
constexpr Duration kMaxShutdownDeadline = std::chrono::seconds(3);

Limits ComputeLimits(const ParsedSettings& settings, double memory_mb, double sockets) {
  Limits limits;
  // Reserves one descriptor each for epoll, signals, the listener, discovery and the log, and some
  // headroom. Clients and servers get half of the rest each.
  const double reserve = std::min(48.0, sockets / 4);
  const auto sockets_per_side = static_cast<std::size_t>(std::max(4.0, (sockets - reserve) / 2));
  limits.max_server_connections = sockets_per_side;
  // Memory is divided by purpose, so that the worst case in all of them at once fits: 25% for commands
  // being read, 36% for open requests (one and a half values each) or answers in their place, 14% for
  // answers that wait for an earlier answer or for their client, and the last 25% for the program, its
  // tables and the allocator. What one connection's next answer takes (core/answer_memory.h) is in the
  // share of the open requests: while it is unsent, its connection has no open request that needs no
  // reservation.
  const double memory = memory_mb * 1024 * 1024;
  const auto command_bytes = static_cast<double>(limits.max_value + 2 * limits.max_line);
  limits.max_clients = std::max<std::size_t>(
      4, std::min(sockets_per_side, static_cast<std::size_t>(0.25 * memory / command_bytes)));
  limits.max_idle_clients = std::max<std::size_t>(8, static_cast<std::size_t>(sockets / 12));
  limits.max_idle_reused_clients = std::max(
      limits.max_idle_clients, std::min(static_cast<std::size_t>(sockets / 4), limits.max_clients / 2));
  const double answer_memory = 0.14 * memory;
  limits.max_answer_memory = static_cast<std::size_t>(answer_memory);
  const double unsent_per_client = answer_memory / static_cast<double>(limits.max_clients);
  limits.max_unsent = static_cast<std::size_t>(std::clamp(
      unsent_per_client, static_cast<double>(limits.max_line), static_cast<double>(limits.max_unsent)));
  // 5% fewer requests than connections on either side, so that each request finds a connection to a server,
  // and a client that connects while the maximum of requests is open is accepted and refused instead of
  // waiting in the kernel's queue.
  const double by_memory = 0.36 * memory / (1.5 * static_cast<double>(limits.max_value));
  const double by_sockets = static_cast<double>(std::min(sockets_per_side, limits.max_clients)) * 0.95;
  limits.max_requests = static_cast<std::size_t>(std::max(
      1.0, std::min({by_memory, by_sockets, static_cast<double>(settings.module.allowed.max_open)})));
  // One client may hold at most a quarter of the requests; further commands from it wait unread.
  limits.max_pipeline = std::clamp<std::size_t>(limits.max_requests / 4, 4, limits.max_pipeline);
  limits.max_attempts = std::max(1, settings.module.allowed.max_attempts);
  if (settings.module.allowed.connect_timeout > Duration(0))
    limits.connect_timeout = settings.module.allowed.connect_timeout;
  // Servers close connections that have been idle for `conn_idle`, so the router closes them at 60% of it.
  // Where a handshake has a price they are kept for 90%: with many servers the next attempt to any one of
  // them usually comes late in that time.
  if (settings.conn_idle > Duration(0))
    limits.server_connection_idle_timeout =
        settings.conn_idle * (settings.module.prices.handshake > 0 ? 9 : 6) / 10;
  if (settings.module.allowed.retry_after) limits.max_retry_after = settings.module.allowed.max_retry_after;
  Duration longest_deadline{0};
  Duration longest_aim{0};
  for (const auto& request_class : settings.module.classes)
    longest_aim = std::max(longest_aim, Duration(request_class.aim));
  // An answer that stalls is given up early enough for another attempt to be in time.
  if (longest_aim > Duration(0))
    limits.answer_stall_timeout = std::min(limits.answer_stall_timeout, longest_aim / 8);
  for (const auto& request_class : settings.module.classes) {
    longest_deadline = std::max(longest_deadline, Duration(request_class.deadline));
    if (request_class.stream)
      limits.answer_stall_timeout = limits.max_deadline;  // it is sent while it is generated
  }
  if (longest_deadline > Duration(0)) limits.default_deadline = longest_deadline;
  // A process that was asked to stop may be killed after the longest deadline (at most
  // kMaxShutdownDeadline) plus 0.7 s. A request that was accepted during `linger` (0.5 s) keeps its whole
  // deadline; the remaining 0.2 s allow for a process that is stalled, and for its last answers.
  limits.shutdown_timeout =
      limits.shutdown_accept_time + std::min(limits.default_deadline, kMaxShutdownDeadline);
  // An update counts as received shortly after the end of the watch that should have returned it, whether
  // or not it arrived. So a watch waits at most half of the longest time that the rules allow without a
  // call.
  if (settings.module.rules.ask_within > Duration(0)) {
    limits.watch_time = std::min(limits.watch_time, Duration(settings.module.rules.ask_within / 2));
  }
  return limits;
}

// The value of the environment variable; empty if it is not set.
std::string_view EnvironmentVariable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::string_view() : std::string_view(value);
}

}  // namespace

Config ReadConfig(std::string_view json, std::string_view name, std::string_view listen,
                  std::string_view discovery, std::string_view admin) {
  rapidjson::Document document;
  ReadJson(json, document);
  if (document.HasParseError()) {
    throw BadConfig(std::string("configuration: ") + rapidjson::GetParseError_En(document.GetParseError()) +
                    " (at byte " + std::to_string(document.GetErrorOffset()) + ")");
  }
  if (!document.IsObject()) throw BadConfig("configuration: not a JSON object");
  Config config;
  config.name = StringField(document, "name", name);
  config.listen = AddressField(document, "listen", listen);
  config.discovery = AddressField(document, "discovery", discovery);
  config.seed = ParseSeed(StringField(document, "seed", {}));
  // Older deployments configure no address for the admin interface; they run without it.
  if (!StringField(document, "admin_addr", admin).empty()) {
    config.admin = AddressField(document, "admin_addr", admin);
  }
  const Value* settings = FindField(document, "settings");
  if (settings == nullptr || !settings->IsObject()) {
    throw BadConfig("configuration: \"settings\" is missing or not an object");
  }
  config.settings = ReadSettings(*settings);
  // Even a list that is said to be pushed reaches a real router only in answer to its calls. Guards against
  // a router that never calls discovery at all.
  config.settings.module.local_list_agent = !config.settings.module.list_by_request;
  config.settings.module.list_by_request = true;
  if (config.settings.names.classes.empty()) throw BadConfig("configuration: the settings name no classes");
  const Value* limits = FindField(document, "limits");
  config.limits = ComputeLimits(config.settings, LimitField(limits, "memory_mb", 192),
                                LimitField(limits, "sockets", 1024));
  if (const Value* known = FindField(document, "known")) {
    std::string why;
    const auto list = ReadServerList(*known, config.settings.names, config.limits, why);
    if (!list) throw BadConfig("configuration: \"known\": " + why);
    config.known = *list;
  }
  return config;
}

namespace {

Config ReadConfigFile(std::string_view discovery) {
  const std::string path(EnvironmentVariable("PROXY_CONFIG"));
  if (path.empty()) throw BadConfig("configuration: PROXY_CONFIG is not set");
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw BadConfig("configuration: cannot read " + path);
  return ReadConfig(text.str(), EnvironmentVariable("PROXY_NAME"), EnvironmentVariable("PROXY_LISTEN"),
                    discovery, EnvironmentVariable("PROXY_ADMIN_ADDR"));
}

}  // namespace

Config LoadConfig() { return ReadConfigFile(EnvironmentVariable("PROXY_DISCOVERY")); }
Config ReloadConfig() { return ReadConfigFile({}); }

}  // namespace brasswood
