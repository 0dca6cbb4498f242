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

std::string Text(const Value& in, const char* name, std::string_view variable) {
  if (!variable.empty()) return std::string(variable);
  const Value* v = FindField(in, name);
  if (v == nullptr) return {};
  if (!v->IsString()) throw BadConfig(std::string("configuration: \"") + name + "\" is not a string");
  return {v->GetString(), v->GetStringLength()};
}

std::string Address(const Value& in, const char* name, std::string_view variable) {
  std::string text = Text(in, name, variable);
  if (text.empty()) throw BadConfig(std::string("configuration: \"") + name + "\" is missing");
  if (!ParseAddress(text)) {
    throw BadConfig(std::string("configuration: \"") + name + "\" is not an address and port: " + text);
  }
  return text;
}

double Number(const Value* in, const char* name, double fallback) {
  const Value* v = in != nullptr && in->IsObject() ? FindField(*in, name) : nullptr;
  if (v == nullptr) return fallback;
  if (!v->IsNumber() || !(v->GetDouble() > 0)) {
    throw BadConfig(std::string("configuration: limit \"") + name + "\" is not a number above 0");
  }
  return v->GetDouble();
}

// The seed is hexadecimal; any other text is hashed down to one, as it only has to differ.
std::uint64_t Seed(const std::string& text) {
  char* end = nullptr;
  const std::uint64_t seed = std::strtoull(text.c_str(), &end, 16);
  if (!text.empty() && *end == '\0') return seed;
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return h;
}

// Longer deadlines count as this one when a process is asked to stop.
constexpr Duration kCountedDeadline = std::chrono::seconds(3);

Limits FillLimits(const SettingsRead& s, double memory_mb, double sockets) {
  Limits l;
  // A descriptor each for epoll, signals, the listener, discovery and the log, and headroom; the rest is
  // halved between the two sides.
  const double reserve = std::min(48.0, sockets / 4);
  const auto half = static_cast<std::size_t>(std::max(4.0, (sockets - reserve) / 2));
  l.attempt_conns = half;
  // Memory by what it is held for, at the worst on all sides at once: a quarter for commands being read,
  // 36% for open requests with a value and half a one on its way, 14% for answers not yet taken, and the
  // last quarter for the program, its tables and the allocator.
  const double memory = memory_mb * 1024 * 1024;
  const auto reading = static_cast<double>(l.value + 2 * l.line);
  l.clients = std::max<std::size_t>(4, std::min(half, static_cast<std::size_t>(0.25 * memory / reading)));
  l.resting = std::max<std::size_t>(8, static_cast<std::size_t>(sockets / 12));
  l.resting_again = std::max(l.resting, std::min(static_cast<std::size_t>(sockets / 4), l.clients / 2));
  const double each = 0.14 * memory / static_cast<double>(l.clients);
  l.unsent = static_cast<std::size_t>(
      std::clamp(each, static_cast<double>(l.line), static_cast<double>(l.unsent)));
  // A little fewer requests than connections on either side, so that each request finds one to a server,
  // and a client that connects while all requests are open is accepted and told, not left waiting in the
  // kernel's queue.
  const double by_memory = 0.36 * memory / (1.5 * static_cast<double>(l.value));
  const double by_sockets = static_cast<double>(std::min(half, l.clients)) * 0.95;
  l.requests = static_cast<std::size_t>(
      std::max(1.0, std::min({by_memory, by_sockets, static_cast<double>(s.module.allowed.max_open)})));
  // No client takes the whole table: what it sends beyond its part waits unread.
  l.pipeline = std::clamp<std::size_t>(l.requests / 4, 4, l.pipeline);
  l.max_attempts = std::max(1, s.module.allowed.max_attempts);
  if (s.module.allowed.connect_timeout > Duration(0)) l.connect = s.module.allowed.connect_timeout;
  // Servers close idle connections at this age at the latest. Where a handshake has a price they are kept
  // until shortly before: among many servers, each met seldom, the next attempt mostly comes late in that
  // time.
  if (s.conn_idle > Duration(0)) l.idle = s.conn_idle * (s.module.prices.handshake > 0 ? 9 : 6) / 10;
  if (s.module.allowed.retry_after) l.max_retry_after = s.module.allowed.max_retry_after;
  Duration longest{0};
  Duration aim{0};
  for (const auto& c : s.module.classes) aim = std::max(aim, Duration(c.aim));
  if (aim > Duration(0)) l.answer = std::min(l.answer, aim / 8);  // or no other attempt could be in time
  for (const auto& c : s.module.classes) {
    longest = std::max(longest, Duration(c.deadline));
    if (c.stream) l.answer = l.longest_wait;  // a streamed answer comes as it is made
  }
  if (longest > Duration(0)) l.default_wait = longest;
  // A process that was asked to stop may be killed once the longest deadline (at most kCountedDeadline) and
  // 0.7 s are over. What was taken in time has its whole deadline; the 0.2 s that are left are for a
  // process that is held up, and for its last answers.
  l.stop_within = l.linger + std::min(l.default_wait, kCountedDeadline);
  // News counts as told a little after a waiting call's end, come or not: no wait beyond half of what
  // the rules let a router go without asking.
  if (s.module.rules.ask_within > Duration(0)) {
    l.watch = std::min(l.watch, Duration(s.module.rules.ask_within / 2));
  }
  return l;
}

std::string_view Variable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::string_view() : std::string_view(value);
}

}  // namespace

Config ReadConfig(std::string_view json, std::string_view name, std::string_view listen,
                  std::string_view discovery, std::string_view admin) {
  rapidjson::Document in;
  ReadJson(json, in);
  if (in.HasParseError()) {
    throw BadConfig(std::string("configuration: ") + rapidjson::GetParseError_En(in.GetParseError()) +
                    " (at byte " + std::to_string(in.GetErrorOffset()) + ")");
  }
  if (!in.IsObject()) throw BadConfig("configuration: not a JSON object");
  Config c;
  c.name = Text(in, "name", name);
  c.listen = Address(in, "listen", listen);
  c.discovery = Address(in, "discovery", discovery);
  c.seed = Seed(Text(in, "seed", {}));
  // The door is there where it is named, and not otherwise: older deployments have none.
  if (!Text(in, "admin_addr", admin).empty()) c.admin = Address(in, "admin_addr", admin);
  const Value* settings = FindField(in, "settings");
  if (settings == nullptr || !settings->IsObject()) {
    throw BadConfig("configuration: \"settings\" is missing or not an object");
  }
  c.settings = ReadSettings(*settings);
  // A list that is pushed reaches a real router no other way than one that is asked for: on the watch it
  // holds. Guards against never calling at all.
  c.settings.module.list_agent = !c.settings.module.list_must_be_asked;
  c.settings.module.list_must_be_asked = true;
  if (c.settings.names.classes.empty()) throw BadConfig("configuration: the settings name no classes");
  const Value* limits = FindField(in, "limits");
  c.limits = FillLimits(c.settings, Number(limits, "memory_mb", 192), Number(limits, "sockets", 1024));
  if (const Value* known = FindField(in, "known")) {
    std::string why;
    const auto list = ReadServerList(*known, c.settings.names, c.limits, why);
    if (!list) throw BadConfig("configuration: \"known\": " + why);
    c.known = *list;
  }
  return c;
}

namespace {

Config FromFile(std::string_view discovery) {
  const std::string path(Variable("PROXY_CONFIG"));
  if (path.empty()) throw BadConfig("configuration: PROXY_CONFIG is not set");
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw BadConfig("configuration: cannot read " + path);
  return ReadConfig(text.str(), Variable("PROXY_NAME"), Variable("PROXY_LISTEN"), discovery,
                    Variable("PROXY_ADMIN_ADDR"));
}

}  // namespace

Config LoadConfig() { return FromFile(Variable("PROXY_DISCOVERY")); }
Config ReloadConfig() { return FromFile({}); }

}  // namespace brasswood
